package org.camphorhall.core.jobs

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A command from the scheduler to an agent. Commands on one connection are numbered from 1. */
@Serializable
public sealed interface WorkerCommand {
    public val number: Long
    public val task: TaskRef
    public val attempt: Int

    /** Starts an attempt. */
    @Serializable
    @SerialName("start")
    public data class Start(
        override val number: Long,
        override val task: TaskRef,
        override val attempt: Int,
        val payload: String,
        val checkpoint: String,
        @SerialName("traits") val profile: TaskProfile,
    ) : WorkerCommand

    /** Stops an attempt. */
    @Serializable
    @SerialName("stop")
    public data class Stop(
        override val number: Long,
        override val task: TaskRef,
        override val attempt: Int,
    ) : WorkerCommand
}

/** The properties of a task that an agent needs to set the CPU shares of the tasks on its worker. */
@Serializable
public data class TaskProfile(
    val backfill: Boolean = false,
    val latencyTargetMillis: Long? = null,
    val cpuMillis: Long = 0,
    val image: String? = null,
)
