package org.camphorhall.bench

import kotlinx.collections.immutable.toPersistentMap
import org.camphorhall.core.agent.AgentAction
import org.camphorhall.core.agent.AgentEvent
import org.camphorhall.core.agent.AgentMachine
import org.camphorhall.core.agent.AgentSettings
import org.camphorhall.core.agent.AgentState
import org.camphorhall.core.agent.Backend
import org.camphorhall.core.agent.BackendAnswer
import org.camphorhall.core.agent.Request
import org.camphorhall.core.config.Configuration
import org.camphorhall.core.model.BackendId
import org.camphorhall.core.model.ClassName
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.RequestId
import org.camphorhall.core.model.RequestOutcome
import org.camphorhall.core.model.Resources
import org.camphorhall.core.model.WorkerId
import org.camphorhall.core.policy.AgentPolicy
import org.camphorhall.core.policy.RoutingPolicy
import org.camphorhall.core.policy.predictedWait
import org.camphorhall.core.policy.routeByPredictedWait
import org.camphorhall.core.routing.ClassLoad
import org.camphorhall.core.routing.RequestAction
import org.camphorhall.core.routing.RequestContext
import org.camphorhall.core.routing.RequestEvent
import org.camphorhall.core.routing.RequestMachine
import org.camphorhall.core.routing.RequestState
import org.camphorhall.core.routing.RetryBudget
import org.camphorhall.core.routing.WorkerInfo
import org.camphorhall.core.routing.WorkerSnapshot
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Requests of one class that arrive as a Poisson process. [ratePerSecond] is the arrival rate by the time since the
 * start of the run; it never exceeds [maxRate].
 */
internal class RequestSource(
    val className: ClassName,
    val ratePerSecond: (Duration) -> Double,
    val maxRate: Double,
    val timeout: Duration,
    val serviceSeconds: (Random) -> Double,
)

/** Outcome of one request. Times are virtual. */
internal class RequestResult(
    val className: ClassName,
    /** Time from the start of the run to the arrival. */
    val arrived: Duration,
    val outcome: RequestOutcome,
    /** Time in the agent's queue; zero if no agent responded. */
    val queued: Duration,
    /** Time from the arrival at the entry to the response. */
    val total: Duration,
)

/** Settings of one run of [FleetDriver]. */
internal class FleetOptions(
    val workers: Int,
    val policy: AgentPolicy = AgentPolicy(),
    val route: RoutingPolicy = ::routeByPredictedWait,
    val maxQueue: Int = 256,
    val slots: Int = 8,
    val capacity: Resources = Resources(64_000, 250_000),
    val perRequest: Resources = Resources(1_000, 1_000),
    val config: Configuration = configuration(targetMillis = 200),
)

/** Runs the state machines of one entry and of several agents with simulated backend servers in virtual time. */
internal class FleetDriver(
    private val options: FleetOptions,
    private val sources: List<RequestSource>,
    seed: Long,
) {
    private class PendingRequest(val state: RequestState, val arrivedAt: MonotonicInstant)

    private val rnd = Random(seed)

    /** Each source has its own generator, so that its requests do not depend on the other sources. */
    private val generators = sources.associateWith { Random(seed * 31 + it.className.value.hashCode()) }
    private val time = VirtualTimeline()
    private val settings = AgentSettings(maxQueue = options.maxQueue)
    private val agents = List(options.workers) { AgentMachine(settings, options.policy) }
    private val states = Array(options.workers) { AgentState(incarnation = 1, config = options.config) }
    private val requests = RequestMachine()
    private val pending = HashMap<RequestId, PendingRequest>()
    private var snapshot = WorkerSnapshot()
    private var budget = RetryBudget()
    private var requestCount = 0L
    private val queueTimes = HashMap<RequestId, Duration>()
    private val serviceTimes = HashMap<RequestId, Double>()

    val results: MutableList<RequestResult> = mutableListOf()

    fun run(length: Duration) {
        for (w in states.indices) {
            step(w, AgentEvent.RuntimeReady(options.capacity, emptyList()))
            step(w, AgentEvent.BackendAnnounced(backend()))
            time.after(1.seconds * rnd.nextDouble()) { time.every(1.seconds) { applyHeartbeat(w) } }
            time.every(100.milliseconds) { step(w, AgentEvent.Tick) }
            applyHeartbeat(w)
        }
        for (s in sources) time.after(nextArrival(s)) { arrive(s) }
        time.runUntil(origin + length)
    }

    private fun backend() = Backend(
        BackendId("b"),
        sources.map { it.className }.toSet(),
        "http://127.0.0.1:1",
        options.slots,
        options.perRequest,
        expiresAt = origin + 10.hours,
    )

    private fun nextArrival(s: RequestSource): Duration {
        val seconds = -ln(1 - generators.getValue(s).nextDouble()) / s.maxRate
        return (seconds * NANOS).toLong().nanoseconds
    }

    private fun arrive(s: RequestSource) {
        time.after(nextArrival(s)) { arrive(s) }
        // Thins a Poisson process of the maximum rate to the current rate.
        val random = generators.getValue(s)
        val accepted = random.nextDouble() * s.maxRate < s.ratePerSecond(time.now - origin)
        val service = s.serviceSeconds(random)
        if (!accepted) return
        val id = RequestId("r${requestCount++}")
        serviceTimes[id] = service
        pending[id] = PendingRequest(RequestState(id, s.className, time.now + s.timeout, idempotent = false), time.now)
        step(id, RequestEvent.Start)
    }

    private fun step(id: RequestId, event: RequestEvent) {
        val call = pending[id] ?: return
        val context = RequestContext(snapshot, budget, "domain-0", rnd.nextLong(), options.route)
        val t = requests.step(call.state, event, time.now, context)
        pending[id] = PendingRequest(t.state, call.arrivedAt)
        for (a in t.actions) {
            when (a) {
                is RequestAction.Send -> send(id, a)
                is RequestAction.Finish -> finish(id, a.outcome)
                else -> Unit
            }
        }
    }

    private fun send(id: RequestId, a: RequestAction.Send) {
        budget = if (a.retry) budget.retry() ?: budget else budget.firstTry()
        val w = workerNumber(a.worker)
        adjustOutstanding(w, 1)
        val r = Request(id, pending.getValue(id).state.className, tenant, a.deadline, idempotent = false)
        time.after(NETWORK) { step(w, AgentEvent.RequestArrived(r, a.incarnation)) }
    }

    private fun finish(id: RequestId, outcome: RequestOutcome) {
        val call = pending.remove(id) ?: return
        val total = time.now - call.arrivedAt
        val queued = queueTimes.remove(id) ?: Duration.ZERO
        results += RequestResult(call.state.className, call.arrivedAt - origin, outcome, queued, total)
    }

    private fun adjustOutstanding(w: Int, change: Int) {
        val info = snapshot.workers.getValue(workerId(w))
        val outstanding = (info.requestsSentSinceReport + change).coerceAtLeast(0)
        snapshot = snapshot.put(info.copy(requestsSentSinceReport = outstanding))
    }

    private fun step(w: Int, event: AgentEvent) {
        val t = agents[w].step(states[w], event, time.now)
        states[w] = t.state
        for (a in t.actions) {
            when (a) {
                is AgentAction.Dispatch -> {
                    val service = (serviceTimes.remove(a.request.id)!! * NANOS).toLong().nanoseconds
                    time.after(service) { step(w, AgentEvent.BackendAnswered(a.request.id, BackendAnswer.Completed)) }
                }
                is AgentAction.Respond -> respond(w, a)
                else -> Unit
            }
        }
    }

    private fun respond(w: Int, a: AgentAction.Respond) {
        queueTimes[a.id] = a.queueTime
        time.after(NETWORK) {
            adjustOutstanding(w, -1)
            step(a.id, RequestEvent.AgentResponded(workerId(w), a.outcome))
        }
    }

    /** Applies a heartbeat of agent [w] to the entry's snapshot. */
    private fun applyHeartbeat(w: Int) {
        val s = states[w]
        val loads = sources.map { it.className }.associateWith { c ->
            ClassLoad(
                options.slots,
                s.running.values.count { it.request.className == c },
                s.queue.count { it.request.className == c },
                s.estimates[c]?.meanMicros?.toLong() ?: 0,
                predictedWait(s, c, time.now + 1.hours, time.now).inWholeMicroseconds,
            )
        }
        snapshot = snapshot.put(
            WorkerInfo(
                workerId(w),
                "w:$w",
                "domain-0",
                "rack-0",
                incarnation = 1,
                heartbeatSentAt = time.now,
                lastSeenAt = time.now,
                capacity = options.capacity,
                used = s.used,
                reserved = Resources.None,
                draining = false,
                classes = loads.toPersistentMap(),
            ),
        )
    }

    private fun workerId(w: Int) = WorkerId("w$w")

    private fun workerNumber(id: WorkerId) = id.value.drop(1).toInt()

    private companion object {
        val NETWORK = 1.milliseconds
        const val NANOS = 1e9
    }
}

/** Lognormal service times with mean [meanSeconds]; one in [slowOneIn], if not 0, takes [factor] times as long. */
internal fun heavyTailed(meanSeconds: Double, slowOneIn: Int, factor: Double): (Random) -> Double = { rnd ->
    val normal = kotlin.math.sqrt(-2 * ln(1 - rnd.nextDouble())) * kotlin.math.cos(2 * Math.PI * rnd.nextDouble())
    val body = meanSeconds * kotlin.math.exp(SIGMA * normal - SIGMA * SIGMA / 2)
    if (slowOneIn > 0 && rnd.nextInt(slowOneIn) == 0) body * factor else body
}

/** Standard deviation of the logarithm of the service times. */
private const val SIGMA = 0.5
