package org.camphorhall.scheduler.protocol

import kotlinx.serialization.Serializable
import org.camphorhall.core.jobs.WorkerReport

/** Report of an agent to the owner of its shard. */
@Serializable
internal class AgentMessage(
    /** Creation time on the agent's steady clock, in milliseconds. */
    val sentAt: Long,
    val report: WorkerReport,
    /** Newest epoch of the shard that the agent knew when it made the report. */
    val epoch: Long = 0,
)
