package org.camphorhall.dev.runtime

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.camphorhall.core.model.AttemptId
import org.camphorhall.core.model.Resources
import org.camphorhall.core.model.TaskId
import org.camphorhall.dev.http.BufferedResponse

/**
 * State of the worker runtime. Times are in nanoseconds of the instance's monotonic clock, and every call first
 * advances all attempts to its time. Not safe for concurrent use.
 */
internal class RuntimeState(val capacity: Resources) {
    private val tasks = LinkedHashMap<TaskId, TaskAttempt>()

    /** Greatest token seen of each task. It is kept after the task's last attempt is removed. */
    private val tokens = HashMap<TaskId, AttemptId>()
    private var incarnation = 0L

    /** Whether the registered incarnation replaced an earlier one; stays true when it registers again. */
    private var hasPredecessor = false
    private val events = ArrayDeque<HistoryEvent>()

    /** Number of events that were dropped from the history because it was full. */
    var droppedEvents: Long = 0
        private set

    /** Descriptions of starts that were rejected because their resources are invalid or exceed the free capacity. */
    val violations: List<String> get() = rejectedStarts
    private val rejectedStarts = mutableListOf<String>()

    /** Reason for rejecting a request. The names are sent in responses. */
    enum class Rejection { Stale, DeadlinePassed, NoSuchTask, NoCapacity }

    /**
     * Registers an incarnation of the agent. Returns whether it replaced an earlier incarnation, and the tracked
     * attempts. An incarnation that is earlier than the registered one is rejected.
     */
    fun openSession(incarnation: Long, now: Long): Either<Rejection, Pair<Boolean, List<TaskAttempt>>> {
        if (incarnation < this.incarnation) return Rejection.Stale.left()
        val predecessor = this.incarnation in 1 until incarnation || hasPredecessor
        if (this.incarnation in 1 until incarnation) hasPredecessor = true
        this.incarnation = incarnation
        return (predecessor to tasks(now)).right()
    }

    /** Returns whether requests of [incarnation] are still accepted. */
    fun acceptsIncarnation(incarnation: Long): Boolean = incarnation >= this.incarnation

    fun tasks(now: Long): List<TaskAttempt> {
        advance(now)
        return tasks.values.toList()
    }

    fun history(now: Long): List<HistoryEvent> {
        advance(now)
        return events.toList()
    }

    /** Starts an attempt. An older attempt of the same task that is still running is stopped first. */
    fun start(
        id: AttemptId,
        resources: Resources,
        payload: String,
        checkpoint: String?,
        deadlineNanos: Long,
        now: Long,
    ): Either<Rejection, Unit> {
        advance(now)
        tokens[id.task]?.let { if (!id.supersedes(it)) return Rejection.Stale.left() }
        if (deadlineNanos <= now) return Rejection.DeadlinePassed.left()
        val others = usedResources() - (running(id.task)?.usedResources ?: Resources.None)
        if (!resources.isValid() || !(others + resources fitsIn capacity)) {
            rejectedStarts += "${id.task} attempt ${id.attempt}: requests $resources with $others in use of $capacity"
            return Rejection.NoCapacity.left()
        }
        running(id.task)?.let { recordEnd(it.copy(state = TaskAttempt.State.Stopped), "superseded") }
        tokens[id.task] = id
        val parsed = runCatching { BufferedResponse.format.decodeFromString<TaskPayload>(payload) }.getOrNull()
        val progress = if (checkpoint == null) 0 else TaskAttempt.progressOf(checkpoint)
        val task = TaskAttempt(
            id = id,
            resources = resources,
            payload = if (progress == null) null.orFailing("checkpoint") else parsed.orFailing("payload"),
            deadlineNanos = deadlineNanos,
            startedNanos = now,
            updatedNanos = now,
            progressNanos = progress ?: 0,
            checkpoint = checkpoint,
        )
        tasks.remove(id.task)
        tasks[id.task] = task
        record(task, "start", now)
        return Unit.right()
    }

    fun extend(id: AttemptId, deadlineNanos: Long, ownerEpoch: Long, now: Long): Either<Rejection, Unit> =
        updateRunning(id, now) {
            when {
                ownerEpoch < it.ownerEpoch -> Rejection.Stale.left()
                deadlineNanos <= now -> Rejection.DeadlinePassed.left()
                else -> it.copy(deadlineNanos = deadlineNanos, ownerEpoch = ownerEpoch).right()
            }
        }.map { }

    fun throttle(id: AttemptId, cpuShare: Double, sequence: Long, now: Long): Either<Rejection, Unit> =
        updateRunning(id, now) {
            if (sequence < it.throttleSequence) {
                Rejection.Stale.left()
            } else {
                it.copy(cpuShare = cpuShare.coerceIn(0.0, 1.0), throttleSequence = sequence).right()
            }
        }.map { }

    fun checkpoint(id: AttemptId, now: Long): Either<Rejection, String> = updateRunning(id, now) {
        it.copy(checkpoint = it.checkpointHandle).right()
    }.map { it.checkpointHandle }

    /** Takes a checkpoint and stops an attempt. An attempt that has already ended is returned unchanged. */
    fun stop(id: AttemptId, now: Long): Either<Rejection, TaskAttempt> {
        advance(now)
        // Recorded so that a start of this attempt that arrives after its stop is rejected.
        if (tokens[id.task]?.let { id.supersedes(it) } != false) tokens[id.task] = id
        val task = tasks[id.task] ?: return Rejection.NoSuchTask.left()
        if (task.id != id) return Rejection.Stale.left()
        if (task.state != TaskAttempt.State.Running) return task.right()
        val stopped = task.copy(checkpoint = task.checkpointHandle, state = TaskAttempt.State.Stopped)
        recordEnd(stopped, "requested")
        return stopped.right()
    }

    /** Removes an ended attempt and keeps its token. */
    fun forget(task: TaskId, attempt: Int, now: Long): Either<Rejection, Unit> {
        advance(now)
        val ended = tasks[task] ?: return Rejection.NoSuchTask.left()
        if (ended.id.attempt != attempt || ended.state == TaskAttempt.State.Running) return Rejection.Stale.left()
        tasks.remove(task)
        return Unit.right()
    }

    /** Attempts that were running at [sampled], for a utilization report that lags behind [now]. */
    fun runningAt(sampled: Long, now: Long): List<TaskAttempt> = tasks(now).filter {
        it.startedNanos <= sampled && (it.state == TaskAttempt.State.Running || it.updatedNanos > sampled)
    }

    private fun updateRunning(
        id: AttemptId,
        now: Long,
        update: (TaskAttempt) -> Either<Rejection, TaskAttempt>,
    ): Either<Rejection, TaskAttempt> {
        advance(now)
        val task = tasks[id.task] ?: return Rejection.NoSuchTask.left()
        if (task.id != id) return Rejection.Stale.left()
        if (task.state != TaskAttempt.State.Running) return Rejection.NoSuchTask.left()
        return update(task).onRight { tasks[id.task] = it }
    }

    private fun advance(now: Long) {
        val ended = mutableListOf<TaskAttempt>()
        tasks.replaceAll { _, task ->
            val next = task.advance(now)
            if (next.state != task.state) ended += next
            next
        }
        ended.sortedBy { it.updatedNanos }.forEach { recordEnd(it, "deadline") }
    }

    private fun recordEnd(task: TaskAttempt, reason: String) {
        tasks[task.id.task] = task
        val stopped = task.state == TaskAttempt.State.Stopped
        record(task, task.state.name.lowercase(), task.updatedNanos, reason.takeIf { stopped })
    }

    private fun record(task: TaskAttempt, event: String, at: Long, reason: String? = null) {
        val id = task.id
        events += HistoryEvent(
            at,
            event,
            id.task.value,
            id.epoch,
            id.attempt,
            task.progressMillis,
            task.checkpoint,
            reason,
        )
        if (events.size > MAX_EVENTS) {
            events.removeFirst()
            droppedEvents++
        }
    }

    private fun running(task: TaskId) = tasks[task]?.takeIf { it.state == TaskAttempt.State.Running }

    private fun usedResources() = tasks.values.filter { it.state == TaskAttempt.State.Running }
        .fold(Resources.None) { sum, task -> sum + task.usedResources }

    /** Replaces an unreadable payload by one that fails at once, as a program with invalid arguments does. */
    private fun TaskPayload?.orFailing(part: String): TaskPayload =
        this ?: TaskPayload(runMillis = 0, fail = true, result = "the $part cannot be decoded")

    private companion object {
        // About 10 MB of events, so that a long test run fits in a heap of 32 MB.
        const val MAX_EVENTS = 40_000
    }
}
