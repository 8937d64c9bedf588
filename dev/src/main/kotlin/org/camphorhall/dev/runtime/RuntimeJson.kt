package org.camphorhall.dev.runtime

import kotlinx.serialization.Serializable
import org.camphorhall.core.model.Resources

/** Request and response bodies of the worker runtime's HTTP API. */
internal object RuntimeJson {
    @Serializable
    class Capacity(
        val instance: String,
        val cpuMillis: Long,
        val memoryMib: Long,
        val accelerators: Int,
        val rack: String,
    )

    @Serializable
    class Session(val incarnation: Long)

    @Serializable
    class OpenedSession(val predecessor: Boolean, val tasks: List<Task>)

    @Serializable
    class Start(
        val epoch: Long,
        val attempt: Int,
        val payload: String,
        val checkpoint: String? = null,
        val resources: Resources,
        val deadlineNanos: Long,
    )

    @Serializable
    class Lease(val epoch: Long, val attempt: Int, val deadlineNanos: Long, val ownerEpoch: Long? = null)

    @Serializable
    class Throttle(val epoch: Long, val attempt: Int, val cpuShare: Double, val order: Long = 0)

    @Serializable
    class Token(val epoch: Long, val attempt: Int)

    @Serializable
    class Checkpoint(val checkpoint: String)

    @Serializable
    class Task(
        val task: String,
        val epoch: Long,
        val attempt: Int,
        val state: String,
        val checkpoint: String?,
        val progressMillis: Long,
        val result: String?,
        val deadlineNanos: Long,
        val resources: Resources,
        val ownerEpoch: Long,
    )

    @Serializable
    class Usage(val sampledNanos: Long, val tasks: List<TaskUsage>)

    @Serializable
    class TaskUsage(val task: String, val attempt: Int, val cpuMillis: Long, val memoryMib: Long)

    @Serializable
    class History(val instance: String, val dropped: Long, val events: List<HistoryEvent>)

    @Serializable
    class Violations(val count: Int, val violations: List<String>)
}
