package org.camphorhall.dev.runtime

import org.camphorhall.core.model.AttemptId
import org.camphorhall.core.model.Resources

/** A running or ended attempt. [progressNanos] is in nanoseconds of run time at full CPU share. */
internal data class TaskAttempt(
    val id: AttemptId,
    val resources: Resources,
    val payload: TaskPayload,
    val deadlineNanos: Long,
    val startedNanos: Long,
    val updatedNanos: Long,
    val progressNanos: Long,
    val checkpoint: String?,
    val cpuShare: Double = 1.0,
    val throttleSequence: Long = 0,
    val state: State = State.Running,
    val result: String? = null,
    val ownerEpoch: Long = id.epoch,
) {
    enum class State { Running, Finished, Failed, Stopped }

    /** Resources in use; the CPU of a throttled attempt is reduced to its [cpuShare]. */
    val usedResources: Resources get() = resources.copy(cpuMillis = (resources.cpuMillis * cpuShare).toLong())

    val progressMillis: Long get() = progressNanos / NANOS_PER_MILLI

    val checkpointHandle: String get() = "p:$progressMillis"

    /** Advances a running attempt to [now]; it ends at its completion or its deadline, whichever comes first. */
    fun advance(now: Long): TaskAttempt {
        if (state != State.Running) return this
        val remaining = payload.runMillis * NANOS_PER_MILLI - progressNanos
        val gained = (now - updatedNanos).toDouble() * cpuShare
        val end = if (gained >= remaining) updatedNanos + (remaining.coerceAtLeast(0) / cpuShare).toLong() else null
        return when {
            end != null && end <= deadlineNanos -> {
                val endState = if (payload.fail) State.Failed else State.Finished
                copy(
                    updatedNanos = end,
                    progressNanos = progressNanos + remaining,
                    state = endState,
                    result = payload.result,
                )
            }

            deadlineNanos <= now -> copy(
                // No checkpoint is taken at the deadline, so progress since the last checkpoint is lost.
                updatedNanos = deadlineNanos,
                progressNanos = progressOf(checkpoint) ?: 0,
                state = State.Stopped,
            )

            else -> copy(updatedNanos = now, progressNanos = progressNanos + gained.toLong())
        }
    }

    companion object {
        const val NANOS_PER_MILLI = 1_000_000L

        /** Progress that [handle] encodes, in nanoseconds; null if it is not a checkpoint handle of this runtime. */
        fun progressOf(handle: String?): Long? =
            handle?.takeIf { it.startsWith("p:") }?.drop(2)?.toLongOrNull()?.let { it * NANOS_PER_MILLI }
    }
}
