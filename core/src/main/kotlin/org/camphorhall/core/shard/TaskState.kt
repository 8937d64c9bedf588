package org.camphorhall.core.shard

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.camphorhall.core.model.AttemptId
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.WorkerId

/** Stored state of a task. */
@Serializable
public sealed interface TaskState {
    /** Whether the state is final. */
    public val ended: Boolean

    /** The task waits for placement. */
    @Serializable
    @SerialName("queued")
    public data object Queued : TaskState {
        override val ended: Boolean get() = false
    }

    /** The attempt [id] is assigned to [worker] and may be running there. */
    @Serializable
    @SerialName("assigned")
    public data class Assigned(
        val id: AttemptId,
        val worker: WorkerId,
        /** Incarnation of the agent that may start the attempt. */
        val incarnation: Long,
        val started: Boolean = false,
        /** Why the owner requested the attempt to stop; null if it did not. */
        @SerialName("stop")
        val stopReason: Reason? = null,
        /** Progress at the last recorded checkpoint; the checkpoint of a report with less progress is outdated. */
        @SerialName("recordedMillis")
        val recordedProgressMillis: Long = 0,
    ) : TaskState {
        override val ended: Boolean get() = false
    }

    @Serializable
    @SerialName("done")
    public data class Done(val result: String?) : TaskState {
        override val ended: Boolean get() = true
    }

    /** The task has failed and is not retried. */
    @Serializable
    @SerialName("failed")
    public data class Failed(val reason: Reason) : TaskState {
        override val ended: Boolean get() = true
    }

    /** The task was cancelled and is guaranteed not to be running. */
    @Serializable
    @SerialName("cancelled")
    public data object Cancelled : TaskState {
        override val ended: Boolean get() = true
    }
}
