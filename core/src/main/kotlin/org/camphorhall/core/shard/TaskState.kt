package org.camphorhall.core.shard

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.camphorhall.core.model.AttemptId
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.WorkerId

/** Durable state of a task. */
@Serializable
public sealed interface TaskState {
    /** Whether the task has ended for good. */
    public val ended: Boolean

    /** The task waits for a worker. */
    @Serializable
    @SerialName("queued")
    public data object Queued : TaskState {
        override val ended: Boolean get() = false
    }

    /** The attempt [id] was recorded for [worker] and may run there. */
    @Serializable
    @SerialName("assigned")
    public data class Assigned(
        val id: AttemptId,
        val worker: WorkerId,
        /** Incarnation of the agent that may start the attempt. */
        val incarnation: Long,
        val started: Boolean = false,
        /** Why the owner wants the attempt to stop; null while it is wanted. */
        @SerialName("stop")
        val stopReason: Reason? = null,
        /** Progress of the attempt when its last checkpoint was recorded; a report with less is a delayed one. */
        @SerialName("recordedMillis")
        val recordedProgressMillis: Long = 0,
    ) : TaskState {
        override val ended: Boolean get() = false
    }

    /** The task finished. */
    @Serializable
    @SerialName("done")
    public data class Done(val result: String?) : TaskState {
        override val ended: Boolean get() = true
    }

    /** The task failed for good. */
    @Serializable
    @SerialName("failed")
    public data class Failed(val reason: Reason) : TaskState {
        override val ended: Boolean get() = true
    }

    /** The task was cancelled, and is stopped or never started. */
    @Serializable
    @SerialName("cancelled")
    public data object Cancelled : TaskState {
        override val ended: Boolean get() = true
    }
}
