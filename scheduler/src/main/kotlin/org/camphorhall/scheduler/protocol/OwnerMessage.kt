package org.camphorhall.scheduler.protocol

import kotlinx.serialization.Serializable
import org.camphorhall.core.jobs.Interference
import org.camphorhall.core.jobs.TaskProfile
import org.camphorhall.core.jobs.TaskRef
import org.camphorhall.core.jobs.WorkerCommand

/** What the owner of a shard sends to an agent. */
@Serializable
internal class OwnerMessage(
    val epoch: Long,
    /** [AgentMessage.sentAt] of the message that this one answers. */
    val answers: Long? = null,
    /** How long the worker may run on, counted from [answers], in milliseconds; 0 grants nothing. */
    val leaseMillis: Long = 0,
    val orders: List<WorkerCommand> = emptyList(),
    /** All ends up to this number are stored. */
    val endsStored: Long? = null,
    /** Traits of the tasks on the worker, for an agent that may have restarted. */
    val traits: Map<TaskRef, TaskProfile> = emptyMap(),
    /** Changes of what is known of the images on the worker. */
    val disturbances: List<Interference> = emptyList(),
    /** Where the worker tells its health; null if it is not to be asked, or if the message answers no report. */
    val healthPath: String? = null,
)
