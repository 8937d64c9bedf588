package org.camphorhall.scheduler.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.camphorhall.core.jobs.Interference
import org.camphorhall.core.jobs.TaskProfile
import org.camphorhall.core.jobs.TaskRef
import org.camphorhall.core.jobs.WorkerCommand

/** Message from the owner of a shard to an agent. */
@Serializable
internal class OwnerMessage(
    val epoch: Long,
    /** [AgentMessage.sentAt] of the report that this message responds to; null if it responds to none. */
    @SerialName("answers")
    val inResponseTo: Long? = null,
    /** Length of the granted worker lease from [inResponseTo] on, in milliseconds; 0 grants no lease. */
    val leaseMillis: Long = 0,
    @SerialName("orders")
    val commands: List<WorkerCommand> = emptyList(),
    /** All attempt ends up to this number are stored. */
    @SerialName("endsStored")
    val lastStoredEnd: Long? = null,
    /** Profiles of the tasks on the worker, for an agent that may have restarted. */
    @SerialName("traits")
    val taskProfiles: Map<TaskRef, TaskProfile> = emptyMap(),
    /** Changed interference weights of the images on the worker. */
    @SerialName("disturbances")
    val interference: List<Interference> = emptyList(),
    /** Path of the worker's health endpoint; null to skip health checks, or if the message responds to no report. */
    val healthPath: String? = null,
)
