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
    /** Share of the slots that requests ask for in a wave; 0 for batch alone. */
    val crest: Double = 0.9,
    val perRequest: Resources = Resources(3_000, 4_000),
)

/** Drives one agent with waves of requests and an endless backlog of batch tasks in virtual time. */
internal class BatchDriver(private val options: BatchOptions, seed: Long) {
    private class Task(val id: TaskId, val spec: TaskSpec, val workSeconds: Double, val due: MonotonicInstant) {
        var attempts = 0
        var progressSeconds = 0.0
        var share = 0.0
        var updatedAt = origin
        var started = 0
    }

    private val tasks = Random(seed)
    private val waves = Random(seed + 1)
    private val rnd = Random(seed + 2)
    private val time = Timeline()
    private val machine = AgentMachine(policy = options.policy)
    private var state = AgentState(incarnation = 1, config = configuration(targetMillis = 1_000))
    private val backlog = ArrayDeque<Task>()
    private val held = HashMap<TaskId, Task>()
    private var numbers = 0L
    private var rate = 0.0
    private var lastUse = origin

    /** Core-milliseconds of progress, evictions, changes of a share and finished tasks. */
    var progress: Double = 0.0
        private set
    var evictions: Int = 0
        private set
    var shareChanges: Int = 0
        private set
    var finished: Int = 0
        private set

    /** Integral of the requests' resources over time, in seconds. */
    private var cpuUse = 0.0
    private var memoryUse = 0.0
    var answered: Int = 0
        private set
    var refused: Int = 0
        private set

    /** Mean resources that requests took. */
    val meanUse: Resources
        get() = ((time.now - origin).toDouble(DurationUnit.SECONDS)).let {
            Resources((cpuUse / it).toLong(), (memoryUse / it).toLong())
        }

    fun run(length: Duration) {
        step(AgentEvent.RuntimeReady(options.capacity, emptyList()))
        val backend = Backend(BackendId("b"), setOf(quotes), "http://b", SLOTS, options.perRequest, origin + 10.hours)
        step(AgentEvent.BackendAnnounced(backend))
        time.every(100.milliseconds) { step(AgentEvent.Tick) }
        time.every(500.milliseconds) { offer() }
        time.every(1.seconds) { step(AgentEvent.HeartbeatAnswered(time.now, mapOf(0 to 1L), emptyList(), emptyList())) }
        if (options.crest > 0) {
            wave()
            arrive()
        }
        time.runUntil(origin + length)
        held.values.forEach { advance(it) }
    }

    /** Demand jumps between a fifth of the slots and the crest, for seconds at a time. */
    private fun wave() {
        rate = LOW / SERVICE_SECONDS * SLOTS
        time.after((3 + 12 * waves.nextDouble()).seconds) {
            rate = options.crest / SERVICE_SECONDS * SLOTS
            time.after((1 + 3 * waves.nextDouble()).seconds) { wave() }
        }
    }

    private fun arrive() {
        val id = RequestId("r${numbers++}")
        val r = Request(id, quotes, tenant, time.now + 5.seconds, idempotent = true)
        step(AgentEvent.RequestArrived(r, 1))
        time.after((-ln(1 - waves.nextDouble()) / rate * NANOS).toLong().nanoseconds) { arrive() }
    }

    /** Offers tasks of the backlog while the worker reports room for them, as their owner does. */
    private fun offer() {
        while (backlog.size < CHOICE) backlog += newTask()
        val room = options.capacity - state.used - options.policy.headroom(state, time.now)
        val task = backlog.firstOrNull { it.spec.resources fitsIn room } ?: return
        backlog.remove(task)
        held[task.id] = task
        val left = (task.due - time.now).inWholeMilliseconds
        val spec = task.spec.copy(finishByRemainingMillis = left)
        val start = StartCommand(AttemptId(task.id, 1, ++task.attempts), 0, 1, spec)
        step(AgentEvent.CommandReceived(1, time.now, listOf(start), emptyList()))
        if (state.attempts[task.id]?.phase?.active == true) {
            time.after(1.milliseconds) { offer() }
        } else {
            giveBack(task)
        }
    }

    private fun newTask(): Task {
        val need = Resources(2_000 + 1_000L * tasks.nextInt(7), 8_000 + 2_000L * tasks.nextInt(9))
        val seconds = 60 + 540 * tasks.nextDouble()
        // Declared run times are far off.
        val declared = (seconds * (0.5 + 1.5 * tasks.nextDouble()) * 1_000).toLong()
        val due = time.now + seconds.seconds * (2 + 8 * tasks.nextDouble())
        val spec = TaskSpec(nightly, tenant, need, expectedMillis = declared)
        return Task(TaskId("job-${numbers++}.0"), spec, seconds, due)
    }

    private fun step(event: AgentEvent) {
        val passed = (time.now - lastUse).toDouble(DurationUnit.SECONDS)
        cpuUse += state.requestsUsed.cpuMillis * passed
        memoryUse += state.requestsUsed.memoryMib * passed
        lastUse = time.now
        val t = machine.step(state, event, time.now)
        state = t.state
        check(state.used fitsIn options.capacity) { "more work than the worker can hold" }
        t.actions.forEach { perform(it) }
    }

    private fun perform(a: AgentAction) {
        when (a) {
            is AgentAction.Dispatch -> {
                val service = heavyTailed(SERVICE_SECONDS, 0, 1.0)(rnd)
                time.after(service.seconds) { step(AgentEvent.BackendAnswered(a.request.id, BackendAnswer.Completed)) }
            }
            is AgentAction.Respond -> if (a.runTime > Duration.ZERO) answered++ else refused++
            is AgentAction.StartTask -> start(held.getValue(a.id.task), a.id)
            is AgentAction.StopTask -> stop(a.id)
            is AgentAction.ThrottleTask -> time.after(5.milliseconds) { throttle(a) }
            else -> Unit
        }
    }

    private fun start(task: Task, id: AttemptId) {
        if (task.started == id.attempt) return
        task.started = id.attempt
        time.after(20.milliseconds) { step(AgentEvent.TaskStarted(id)) }
        // A task makes no progress while it loads its checkpoint.
        time.after(LOADING) {
            if (task.attempts != id.attempt || task.id !in held) return@after
            task.updatedAt = time.now
            task.share = state.attempts.getValue(id.task).let { it.pendingShare ?: it.cpuShare }
            watch(task, id)
        }
    }

    private fun advance(task: Task) {
        val seconds = (time.now - task.updatedAt).toDouble(DurationUnit.SECONDS) * task.share
        val gained = minOf(seconds, task.workSeconds - task.progressSeconds)
        task.progressSeconds += gained
        progress += gained * task.spec.resources.cpuMillis
        task.updatedAt = time.now
    }

    /** Looks for the end of the task, as the poll of the inventory does. */
    private fun watch(task: Task, id: AttemptId) {
        if (held[task.id] != task || task.attempts != id.attempt) return
        advance(task)
        if (task.progressSeconds < task.workSeconds) {
            time.after(500.milliseconds) { watch(task, id) }
        } else {
            finished++
            end(task, id, AttemptPhase.Finished)
        }
    }

    private fun stop(id: AttemptId) {
        val task = held[id.task]?.takeIf { it.attempts == id.attempt && it.share >= 0 } ?: return
        advance(task)
        task.share = STOPPING
        evictions++
        time.after(EVICTION) {
            task.share = 0.0
            end(task, id, AttemptPhase.Stopped)
            time.after(1.seconds) { giveBack(task) }
        }
    }

    private fun giveBack(task: Task) {
        held.remove(task.id)
        backlog.addFirst(task)
    }

    private fun end(task: Task, id: AttemptId, phase: AttemptPhase) {
        held.remove(task.id)
        val done = (task.progressSeconds * 1_000).toLong()
        val item = InventoryItem(id, phase, task.spec.resources, progressMillis = done, deadline = time.now)
        step(AgentEvent.TaskStopped(item))
        step(AgentEvent.HeartbeatAnswered(time.now, emptyMap(), listOf(id), emptyList()))
    }

    private fun throttle(a: AgentAction.ThrottleTask) {
        val task = held[a.id.task]?.takeIf { it.attempts == a.id.attempt && it.share >= 0 } ?: return
        advance(task)
        shareChanges++
        if (task.share > 0) task.share = a.cpuShare
        step(AgentEvent.TaskThrottled(a.id, a.order))
    }

    private companion object {
        const val SLOTS = 8
        const val LOW = 0.2
        const val SERVICE_SECONDS = 0.1
        const val NANOS = 1e9

        /** Tasks of the backlog that the owner chooses from. */
        const val CHOICE = 10

        /** Time that a checkpoint and a stop take, and time to load a checkpoint. */
        val EVICTION = 1_500.milliseconds
        val LOADING = 3.seconds

        /** Share of a task that is stopping: it makes no progress and takes no further command. */
        const val STOPPING = -0.0000001
    }
}
