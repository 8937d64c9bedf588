package org.camphorhall.bench

import org.camphorhall.core.agent.AgentAction
import org.camphorhall.core.agent.AgentEvent
import org.camphorhall.core.agent.AgentMachine
import org.camphorhall.core.agent.AgentState
import org.camphorhall.core.agent.AttemptPhase
import org.camphorhall.core.agent.Backend
import org.camphorhall.core.agent.BackendAnswer
import org.camphorhall.core.agent.InventoryItem
import org.camphorhall.core.agent.Request
import org.camphorhall.core.agent.StartCommand
import org.camphorhall.core.agent.TaskSpec
import org.camphorhall.core.model.AttemptId
import org.camphorhall.core.model.BackendId
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.RequestId
import org.camphorhall.core.model.Resources
import org.camphorhall.core.model.TaskId
import org.camphorhall.core.policy.AgentPolicy
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Settings of one run of [BatchDriver]. */
internal class BatchOptions(
    val policy: AgentPolicy,
    val capacity: Resources = Resources(64_000, 250_000),
    /** Demand of requests in a wave as a share of the slots; 0 runs batch tasks alone. */
    val peakLoad: Double = 0.9,
    val perRequest: Resources = Resources(3_000, 4_000),
)

/** Runs one agent with waves of requests and an unlimited backlog of batch tasks in virtual time. */
internal class BatchDriver(private val options: BatchOptions, seed: Long) {
    private class Task(val id: TaskId, val spec: TaskSpec, val workSeconds: Double, val finishBy: MonotonicInstant) {
        var attempts = 0
        var progressSeconds = 0.0
        var share = 0.0
        var updatedAt = origin
        var startedAttempt = 0
    }

    private val taskRandom = Random(seed)
    private val waveRandom = Random(seed + 1)
    private val serviceRandom = Random(seed + 2)
    private val time = VirtualTimeline()
    private val machine = AgentMachine(policy = options.policy)
    private var state = AgentState(incarnation = 1, config = configuration(targetMillis = 1_000))
    private val backlog = ArrayDeque<Task>()
    private val assigned = HashMap<TaskId, Task>()
    private var nextId = 0L
    private var requestRate = 0.0
    private var usageUpdatedAt = origin

    /** Progress of batch tasks in core-milliseconds (one core for 1 ms). */
    var progressCoreMillis: Double = 0.0
        private set
    var evictions: Int = 0
        private set
    var shareChanges: Int = 0
        private set
    var finished: Int = 0
        private set

    /** Resources of running requests, integrated over time: millicore-seconds and MiB-seconds. */
    private var cpuUsageIntegral = 0.0
    private var memoryUsageIntegral = 0.0
    var answeredRequests: Int = 0
        private set
    var refusedRequests: Int = 0
        private set

    /** Mean resources that running requests used. */
    val meanRequestUsage: Resources
        get() = ((time.now - origin).toDouble(DurationUnit.SECONDS)).let {
            Resources((cpuUsageIntegral / it).toLong(), (memoryUsageIntegral / it).toLong())
        }

    fun run(length: Duration) {
        step(AgentEvent.RuntimeReady(options.capacity, emptyList()))
        val backend = Backend(BackendId("b"), setOf(quotes), "http://b", SLOTS, options.perRequest, origin + 10.hours)
        step(AgentEvent.BackendAnnounced(backend))
        time.every(100.milliseconds) { step(AgentEvent.Tick) }
        time.every(500.milliseconds) { startFromBacklog() }
        time.every(1.seconds) { step(AgentEvent.HeartbeatAnswered(time.now, mapOf(0 to 1L), emptyList(), emptyList())) }
        if (options.peakLoad > 0) {
            scheduleWave()
            arrive()
        }
        time.runUntil(origin + length)
        assigned.values.forEach { advance(it) }
    }

    /** Switches the demand between a fifth of the slots and [BatchOptions.peakLoad] every few seconds. */
    private fun scheduleWave() {
        requestRate = LOW_LOAD / SERVICE_SECONDS * SLOTS
        time.after((3 + 12 * waveRandom.nextDouble()).seconds) {
            requestRate = options.peakLoad / SERVICE_SECONDS * SLOTS
            time.after((1 + 3 * waveRandom.nextDouble()).seconds) { scheduleWave() }
        }
    }

    private fun arrive() {
        val id = RequestId("r${nextId++}")
        val r = Request(id, quotes, tenant, time.now + 5.seconds, idempotent = true)
        step(AgentEvent.RequestArrived(r, 1))
        time.after((-ln(1 - waveRandom.nextDouble()) / requestRate * NANOS).toLong().nanoseconds) { arrive() }
    }

    /** Starts tasks of the backlog while the worker reports free capacity for them, as a shard owner does. */
    private fun startFromBacklog() {
        while (backlog.size < BACKLOG_WINDOW) backlog += newTask()
        val freeCapacity = options.capacity - state.used - options.policy.headroom(state, time.now)
        val task = backlog.firstOrNull { it.spec.resources fitsIn freeCapacity } ?: return
        backlog.remove(task)
        assigned[task.id] = task
        val remainingMillis = (task.finishBy - time.now).inWholeMilliseconds
        val spec = task.spec.copy(finishByRemainingMillis = remainingMillis)
        val start = StartCommand(AttemptId(task.id, 1, ++task.attempts), 0, 1, spec)
        step(AgentEvent.CommandReceived(1, time.now, listOf(start), emptyList()))
        if (state.attempts[task.id]?.phase?.active == true) {
            time.after(1.milliseconds) { startFromBacklog() }
        } else {
            requeue(task)
        }
    }

    private fun newTask(): Task {
        val need = Resources(2_000 + 1_000L * taskRandom.nextInt(7), 8_000 + 2_000L * taskRandom.nextInt(9))
        val seconds = 60 + 540 * taskRandom.nextDouble()
        // Declared run times are inaccurate: 0.5 to 2 times the true value.
        val declared = (seconds * (0.5 + 1.5 * taskRandom.nextDouble()) * 1_000).toLong()
        val finishBy = time.now + seconds.seconds * (2 + 8 * taskRandom.nextDouble())
        val spec = TaskSpec(nightly, tenant, need, expectedMillis = declared)
        return Task(TaskId("job-${nextId++}.0"), spec, seconds, finishBy)
    }

    private fun step(event: AgentEvent) {
        val elapsedSeconds = (time.now - usageUpdatedAt).toDouble(DurationUnit.SECONDS)
        cpuUsageIntegral += state.requestsUsed.cpuMillis * elapsedSeconds
        memoryUsageIntegral += state.requestsUsed.memoryMib * elapsedSeconds
        usageUpdatedAt = time.now
        val t = machine.step(state, event, time.now)
        state = t.state
        check(state.used fitsIn options.capacity) { "used resources exceed the worker's capacity" }
        t.actions.forEach { perform(it) }
    }

    private fun perform(a: AgentAction) {
        when (a) {
            is AgentAction.Dispatch -> {
                val service = heavyTailed(SERVICE_SECONDS, 0, 1.0)(serviceRandom)
                time.after(service.seconds) { step(AgentEvent.BackendAnswered(a.request.id, BackendAnswer.Completed)) }
            }
            is AgentAction.Respond -> if (a.runTime > Duration.ZERO) answeredRequests++ else refusedRequests++
            is AgentAction.StartTask -> start(assigned.getValue(a.id.task), a.id)
            is AgentAction.StopTask -> stop(a.id)
            is AgentAction.ThrottleTask -> time.after(5.milliseconds) { throttle(a) }
            else -> Unit
        }
    }

    private fun start(task: Task, id: AttemptId) {
        if (task.startedAttempt == id.attempt) return
        task.startedAttempt = id.attempt
        time.after(20.milliseconds) { step(AgentEvent.TaskStarted(id)) }
        // A task makes no progress while it loads its checkpoint.
        time.after(CHECKPOINT_LOAD_TIME) {
            if (task.attempts != id.attempt || task.id !in assigned) return@after
            task.updatedAt = time.now
            task.share = state.attempts.getValue(id.task).let { it.pendingShare ?: it.cpuShare }
            pollProgress(task, id)
        }
    }

    private fun advance(task: Task) {
        val seconds = (time.now - task.updatedAt).toDouble(DurationUnit.SECONDS) * task.share
        val gained = minOf(seconds, task.workSeconds - task.progressSeconds)
        task.progressSeconds += gained
        progressCoreMillis += gained * task.spec.resources.cpuMillis
        task.updatedAt = time.now
    }

    /** Checks every 500 ms whether the task has finished, as the agent does by reading the inventory. */
    private fun pollProgress(task: Task, id: AttemptId) {
        if (assigned[task.id] != task || task.attempts != id.attempt) return
        advance(task)
        if (task.progressSeconds < task.workSeconds) {
            time.after(500.milliseconds) { pollProgress(task, id) }
        } else {
            finished++
            end(task, id, AttemptPhase.Finished)
        }
    }

    private fun stop(id: AttemptId) {
        val task = assigned[id.task]?.takeIf { it.attempts == id.attempt && it.share >= 0 } ?: return
        advance(task)
        task.share = STOPPING_SHARE
        evictions++
        time.after(EVICTION_TIME) {
            task.share = 0.0
            end(task, id, AttemptPhase.Stopped)
            time.after(1.seconds) { requeue(task) }
        }
    }

    private fun requeue(task: Task) {
        assigned.remove(task.id)
        backlog.addFirst(task)
    }

    private fun end(task: Task, id: AttemptId, phase: AttemptPhase) {
        assigned.remove(task.id)
        val done = (task.progressSeconds * 1_000).toLong()
        val item = InventoryItem(id, phase, task.spec.resources, progressMillis = done, deadline = time.now)
        step(AgentEvent.TaskStopped(item))
        step(AgentEvent.HeartbeatAnswered(time.now, emptyMap(), listOf(id), emptyList()))
    }

    private fun throttle(a: AgentAction.ThrottleTask) {
        val task = assigned[a.id.task]?.takeIf { it.attempts == a.id.attempt && it.share >= 0 } ?: return
        advance(task)
        shareChanges++
        if (task.share > 0) task.share = a.cpuShare
        step(AgentEvent.TaskThrottled(a.id, a.order))
    }

    private companion object {
        const val SLOTS = 8
        const val LOW_LOAD = 0.2
        const val SERVICE_SECONDS = 0.1
        const val NANOS = 1e9

        /** Tasks at the head of the backlog from which the owner chooses. */
        const val BACKLOG_WINDOW = 10

        /** Time of a final checkpoint and a stop. */
        val EVICTION_TIME = 1_500.milliseconds
        val CHECKPOINT_LOAD_TIME = 3.seconds

        /** Negative CPU share of a stopping task, which makes no progress and ignores further stops and throttles. */
        const val STOPPING_SHARE = -0.0000001
    }
}
