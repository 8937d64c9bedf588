package org.camphorhall.scheduler.protocol

import kotlinx.serialization.Serializable
import org.camphorhall.core.jobs.WorkerReport

/** What an agent sends to the owner of its shard. */
@Serializable
internal class AgentMessage(
    /** When the message was made, on the agent's steady clock in milliseconds. */
    val sentAt: Long,
    val report: WorkerReport,
)
