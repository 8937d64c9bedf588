package org.camphorhall.core.fuzz

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.camphorhall.core.agent.AgentAction
import org.camphorhall.core.agent.AgentEvent
import org.camphorhall.core.agent.AgentMachine
import org.camphorhall.core.agent.AgentState
import org.camphorhall.core.agent.BackendAnswer
import org.camphorhall.core.agent.Request
import org.camphorhall.core.agent.StopCommand
import org.camphorhall.core.config.ConfigUpdate
import org.camphorhall.core.config.Configuration
import org.camphorhall.core.model.AttemptId
import org.camphorhall.core.model.ClassName
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.RequestId
import org.camphorhall.core.model.RequestOutcome
import org.camphorhall.core.model.Resources
import org.camphorhall.core.policy.headroomByRecentRise
import org.camphorhall.core.policy.predictedWait
import org.camphorhall.core.routing.ClassLoad
import org.camphorhall.core.shard.AttemptReport
import org.camphorhall.core.shard.JobShardAction
import kotlin.time.Duration.Companion.milliseconds

/** A heartbeat of an agent. */
internal data class Heartbeat(
    val agent: AgentNode,
    val incarnation: Long,
    val sentAt: MonotonicInstant,
    val capacity: Resources,
    val used: Resources,
    val reserved: Resources,
    val draining: Boolean,
    val classes: Map<ClassName, ClassLoad>,
    val epochs: List<Long>,
    val reports: List<AttemptReport>,
    val config: Configuration,
)

/** Answer of an entry to a heartbeat. */
internal data class HeartbeatReply(
    val renewals: Map<Int, Long>,
    val acknowledged: List<AttemptId>,
    val stops: List<StopCommand>,
    val update: ConfigUpdate,
)

/** Answer of an agent to a request. */
internal data class ExecuteReply(val id: RequestId, val outcome: RequestOutcome, val body: String?)

/** The process around the state machine of an agent. */
internal class AgentNode(private val world: World, val instance: InstanceModel) :
    Node(world.sim, "agent-${instance.name}") {
    private val machine = AgentMachine(world.agentSettings)
    private val pending = mutableMapOf<RequestId, (ExecuteReply) -> Unit>()
    private val seenEpochs = mutableMapOf<Int, Long>()
    private val bodies = mutableMapOf<RequestId, String>()

    /** Until then, calls of the runtime take long. */
    var slowUntil = 0L
    var state = AgentState(0)
        private set
    val processName get() = "$name/${state.incarnation}"

    init {
        start()
    }

    fun clock() = instance.clock()

    fun start() {
        revive()
        pending.clear()
        seenEpochs.clear()
        state = AgentState(incarnation = clock().nanos)
        openSession()
        every(50 * MS) { tick() }
        later(sim.millis(0, 200)) { every(200 * MS) { heartbeat() } }
        every(250 * MS) { poll() }
    }

    private fun tick() {
        step(AgentEvent.Tick)
        val exits = state.draining && (state.idle || world.planted == Planted.AgentExitsEarly)
        if (!exits) return
        val running = world.backends.filter { it.value === this }.keys.flatMap { it.runningFor(generation) }
        world.oracle.plannedExit(name, running + pending.keys)
        crash()
    }

    fun receiveConfig(update: ConfigUpdate) {
        val since = if (world.planted == Planted.NoGapCheck) 0 else update.since
        step(AgentEvent.ConfigReceived(update.copy(since = since)))
    }

    fun drain() {
        world.oracle.drained(processName)
        if (world.planted != Planted.IgnoresDrain) step(AgentEvent.Drain)
    }

    fun step(event: AgentEvent): List<AgentAction> {
        val t = machine.step(state, event, clock())
        sim.machineSteps++
        for ((shard, epoch) in t.state.shardEpochs) seenEpochs.merge(shard, epoch, ::maxOf)
        state = when {
            world.planted == Planted.NoEpochFencing -> t.state.copy(shardEpochs = persistentMapOf())
            event is AgentEvent.ConfigReceived && world.planted == Planted.NoVersionCheck ->
                t.state.copy(config = Configuration.of(event.update.version, event.update.items))
            else -> t.state
        }
        world.oracle.configInForce(processName, state.config)
        t.actions.forEach { perform(it) }
        return t.actions
    }

    /** Calls the worker runtime; the call happens even when this process dies meanwhile. */
    private fun <R> runtime(op: InstanceModel.() -> R, done: (R) -> Unit) {
        val gen = generation
        val slow = sim.now < slowUntil || sim.chance(world.net.slowPercent)
        sim.after(if (slow) sim.millis(1, 1_500) else sim.rnd.nextLong(MS / 10, 3 * MS)) {
            if (instance.alive) {
                val result = instance.op()
                val lost = sim.chance(world.net.lossPercent)
                if (!lost) sim.after(sim.rnd.nextLong(MS / 10, 3 * MS)) { deliverTo(gen) { done(result) } }
            }
        }
    }

    private fun openSession() {
        val me = state.incarnation
        runtime({ session(me) }) { session ->
            val capacity = instance.capacity * if (world.planted == Planted.NoCapacityCheck) 4 else 1
            if (session != null && state.capacity == null) {
                step(AgentEvent.RuntimeReady(capacity, session.inventory, session.predecessor))
            }
        }
        later(100 * MS) { if (state.capacity == null) openSession() }
    }

    private fun poll() {
        val asked = clock()
        if (state.capacity != null) runtime({ inventory() }) { step(AgentEvent.InventoryRead(asked, it)) }
    }

    private fun perform(a: AgentAction) {
        val me = state.incarnation
        when (a) {
            is AgentAction.Dispatch -> dispatch(a)
            is AgentAction.Respond -> Unit
            is AgentAction.RespondToWithdrawal -> Unit
            is AgentAction.StartTask -> runtime({ start(me, a.id, a.spec, a.until) }) { ok ->
                if (ok) step(AgentEvent.TaskStarted(a.id)) else startRefused(a.id)
            }
            is AgentAction.ExtendTask -> runtime({ extend(me, a.id, a.until, a.ownerEpoch) }) { ok ->
                if (ok) step(AgentEvent.TaskExtended(a.id, a.ownerEpoch))
            }
            is AgentAction.StopTask -> runtime({ stop(me, a.id) }) { item ->
                step(if (item == null) AgentEvent.TaskRefused(a.id, Reason.Stale) else AgentEvent.TaskStopped(item))
            }
            is AgentAction.ThrottleTask -> runtime({ throttle(me, a.id, a.cpuShare, a.order) }) { ok ->
                if (ok) step(AgentEvent.TaskThrottled(a.id, a.order))
            }
            is AgentAction.ForgetTask -> runtime({ forget(me, a.id) }) {}
        }
        if (a is AgentAction.Respond) answerPending(a)
    }

    /** A start that was sent twice is refused as stale although its attempt runs; the inventory tells. */
    private fun startRefused(id: AttemptId) {
        val asked = clock()
        runtime({ inventory() }) { items ->
            val listed = items.any { it.id == id }
            step(if (listed) AgentEvent.InventoryRead(asked, items) else AgentEvent.TaskRefused(id, Reason.Stale))
        }
    }

    private fun dispatch(a: AgentAction.Dispatch) {
        world.oracle.dispatched(processName, a.request.id.value)
        val gen = generation
        val backend = world.backends.keys.firstOrNull { it.id == a.backend }
        if (backend == null) {
            later(MS) { backendAnswered(a.request.id, BackendAnswer.NotReached, "") }
        } else {
            sim.after(sim.rnd.nextLong(MS / 10, 3 * MS)) { backend.execute(a.request, gen) }
        }
    }

    fun backendAnswered(id: RequestId, answer: BackendAnswer, body: String) {
        if (answer == BackendAnswer.Completed) bodies[id] = body
        step(AgentEvent.BackendAnswered(id, answer))
    }

    private fun answerPending(a: AgentAction.Respond) {
        val body = if (a.outcome == RequestOutcome.Completed) bodies.remove(a.id) else null
        pending.remove(a.id)?.invoke(ExecuteReply(a.id, a.outcome, body))
    }

    fun execute(request: Request, incarnation: Long, reply: (ExecuteReply) -> Unit) {
        val waiting = pending.remove(request.id)
        pending[request.id] = reply
        step(AgentEvent.RequestArrived(request, incarnation))
        // An answer within the step is about this delivery; an earlier delivery goes on waiting.
        if (waiting != null) pending[request.id] = waiting
    }

    fun withdraw(id: RequestId, incarnation: Long, deadline: MonotonicInstant, reply: (Boolean) -> Unit) {
        val actions = step(AgentEvent.RequestWithdrawn(id, incarnation, deadline))
        val answer = actions.filterIsInstance<AgentAction.RespondToWithdrawal>().first { it.id == id }
        reply(answer.notRun || world.planted == Planted.WithdrawAlwaysNotRun)
    }

    fun command(c: JobShardAction.Command, reply: (List<AttemptReport>) -> Unit) {
        step(AgentEvent.CommandReceived(c.incarnation, c.heartbeatSentAt, c.starts, c.stops))
        val tasks = (c.starts.map { it.id.task } + c.stops.map { it.task }).toSet()
        reply(reports().filter { it.id.task in tasks })
    }

    private fun reports() = state.attempts.values.map {
        val kept = it.checkpoint.takeIf { world.planted != Planted.LosesCheckpoint }
        AttemptReport(it.id, it.phase, it.reason, kept, it.progressMillis, it.result)
    }

    private fun epochOf(shard: Int) =
        if (world.planted == Planted.NoEpochFencing) seenEpochs[shard] ?: 0 else state.fencedEpoch(shard)

    private fun heartbeat() {
        val capacity = state.capacity ?: return
        val sent = clock()
        val beat = Heartbeat(
            this, state.incarnation, sent, capacity, state.used, headroomByRecentRise(state, sent), state.draining,
            loads(),
            List(SHARDS) { epochOf(it) }, reports(), state.config,
        )
        for (e in world.entries) {
            world.net.call<HeartbeatReply>(this, e, 1_000 * MS, { reply -> e.heartbeat(beat, reply) }) { r ->
                if (r is Reply.Ok) heartbeatAnswered(sent, r.value)
            }
        }
    }

    private fun heartbeatAnswered(sentAt: MonotonicInstant, r: HeartbeatReply) {
        receiveConfig(r.update)
        step(AgentEvent.HeartbeatAnswered(sentAt, r.renewals, r.acknowledged, r.stops))
    }

    private fun loads(): Map<ClassName, ClassLoad> {
        val open = state.backends.values.filter { it.acceptsRequests(clock()) }
        return open.flatMap { it.classes }.distinct().associateWith { c ->
            val running = state.running.values.count { it.request.className == c }
            val queued = state.queue.count { it.request.className == c }
            val wait = predictedWait(state, c, clock() + 1_000.milliseconds, clock()).inWholeMicroseconds
            ClassLoad(open.filter { c in it.classes }.sumOf { it.slots }, running, queued, 1_000, wait)
        }.toPersistentMap()
    }
}
