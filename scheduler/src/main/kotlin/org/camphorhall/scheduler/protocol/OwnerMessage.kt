package org.camphorhall.scheduler.protocol

import kotlinx.serialization.SerialName
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
    @SerialName("answers")
    val inResponseTo: Long? = null,
    /** How long the worker may run on, counted from [inResponseTo], in milliseconds; 0 grants nothing. */
    val leaseMillis: Long = 0,
    @SerialName("orders")
    val commands: List<WorkerCommand> = emptyList(),
    /** All ends up to this number are stored. */
    @SerialName("endsStored")
    val lastStoredEnd: Long? = null,
    /** Traits of the tasks on the worker, for an agent that may have restarted. */
    @SerialName("traits")
    val taskProfiles: Map<TaskRef, TaskProfile> = emptyMap(),
    /** Changes of what is known of the images on the worker. */
    @SerialName("disturbances")
    val interference: List<Interference> = emptyList(),
    /** Where the worker tells its health; null if it is not to be asked, or if the message answers no report. */
    val healthPath: String? = null,
)
