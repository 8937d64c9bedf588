package org.camphorhall.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.path
import org.camphorhall.core.agent.AgentEvent
import org.camphorhall.core.agent.AgentMachine
import org.camphorhall.core.agent.AgentState
import org.camphorhall.core.agent.AttemptPhase
import org.camphorhall.core.agent.Backend
import org.camphorhall.core.agent.BackendAnswer
import org.camphorhall.core.agent.InventoryItem
import org.camphorhall.core.agent.Request
import org.camphorhall.core.model.AttemptId
import org.camphorhall.core.model.BackendId
import org.camphorhall.core.model.RequestId
import org.camphorhall.core.model.Resources
import org.camphorhall.core.model.TaskId
import org.camphorhall.core.policy.PlacementRequest
import org.camphorhall.core.policy.RoutingPolicy
import org.camphorhall.core.policy.placeByFreeCapacity
import org.camphorhall.core.policy.routeByLeastOutstanding
import org.camphorhall.core.policy.routeByPredictedWait
import org.camphorhall.core.routing.RequestContext
import org.camphorhall.core.routing.RequestEvent
import org.camphorhall.core.routing.RequestMachine
import org.camphorhall.core.routing.RequestState
import org.camphorhall.core.routing.RetryBudget
import org.camphorhall.core.routing.WorkerSnapshot
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.seconds

/** Measures the time and the allocated bytes of single decisions. */
internal class DecisionCommand : CliktCommand("decisions") {
    private val calls by option("--calls", help = "Measured calls of each decision").int().default(50_000)
    private val out by option("--out", help = "Directory of the tables").path().default(measurementsDirectory)

    override fun run() {
        val report = BenchmarkReport("decisions", "Time of one decision", machineConditions)
        for (n in listOf(100, 1_000, WORKERS)) {
            val snapshot = snapshotOf(n)
            report.add("route, $n workers", n, routing(snapshot, ::routeByPredictedWait))
            val leastOutstanding = routing(snapshot, ::routeByLeastOutstanding)
            report.add("route by least outstanding (baseline), $n workers", n, leastOutstanding)
        }
        val empty = snapshotOf(WORKERS)
        val full = snapshotOf(WORKERS, used = Resources(60_000, 240_000))
        report.add("place, empty fleet", WORKERS, placement(empty))
        report.add("place, full fleet", WORKERS, placement(full))
        report.add("take a heartbeat into the view", WORKERS, heartbeats(empty))
        report.add("agent: request arrives and is dispatched, 20 tasks held", 1, arrivals(queued = false))
        report.add("agent: request arrives at a full worker, 20 tasks held", 1, arrivals(queued = true))
        report.write(out)
    }

    private fun BenchmarkReport.add(name: String, workers: Int, t: CallTiming) = row(
        "decision" to name,
        "workers" to workers,
        "p50 µs" to t.p50Micros,
        "p99 µs" to t.p99Micros,
        "p99.9 µs" to t.p999Micros,
        "bytes allocated" to t.bytesPerCall,
    )

    private fun routing(snapshot: WorkerSnapshot, route: RoutingPolicy): CallTiming {
        val machine = RequestMachine()
        return measureCalls(WARMUP, if (snapshot.workers.size > 1_000) calls / 10 else calls) { i ->
            val state = RequestState(RequestId("r$i"), quotes, origin + 1.seconds, idempotent = true)
            val context = RequestContext(snapshot, RetryBudget(), "domain-1", i * 7_919L, route)
            machine.step(state, RequestEvent.Start, origin, context)
        }
    }

    private fun placement(snapshot: WorkerSnapshot) = measureCalls(WARMUP, calls) { i ->
        placeByFreeCapacity(snapshot, PlacementRequest(nightly, Resources(2_000, 8_000), seed = i * 7_919L), origin)
    }

    private fun heartbeats(snapshot: WorkerSnapshot): CallTiming {
        val infos = snapshot.workers.values.toList()
        var current = snapshot
        return measureCalls(WARMUP, calls) { i ->
            current = current.put(infos[i % infos.size].copy(heartbeatSentAt = origin + i.microseconds))
            current
        }
    }

    private fun arrivals(queued: Boolean): CallTiming {
        val machine = AgentMachine()
        var state = workerWithTasks(tasks = 20)
        var now = origin
        if (queued) {
            repeat(40) {
                val e = AgentEvent.RequestArrived(request("w$it", 60), 1)
                state = machine.step(state, e, now).state
            }
        }
        val base = state
        return measureCalls(WARMUP, calls) { i ->
            now += 1.microseconds
            val t = machine.step(state, AgentEvent.RequestArrived(request("r$i", 60), 1), now)
            state = if (queued) {
                base
            } else {
                machine.step(t.state, backendResponse("r$i"), now).state.copy(recentRequests = base.recentRequests)
            }
            t
        }
    }

    private fun backendResponse(id: String) = AgentEvent.BackendAnswered(RequestId(id), BackendAnswer.Completed)

    private fun request(id: String, deadlineSeconds: Int) =
        Request(RequestId(id), quotes, tenant, origin + deadlineSeconds.seconds, idempotent = true)

    private companion object {
        const val WORKERS = 14_000
        const val WARMUP = 5_000
    }
}

/** Worker of section 1.3 of the design page with [tasks] batch tasks and one backend server with 8 slots. */
internal fun workerWithTasks(tasks: Int): AgentState {
    val machine = AgentMachine()
    val inventory = (0 until tasks).map {
        val id = AttemptId(TaskId("job-$it.0"), 1, 1)
        InventoryItem(id, AttemptPhase.Running, Resources(1_000, 4_000), deadline = origin + 1.hours)
    }
    val backend = Backend(
        BackendId("b"),
        setOf(quotes, plans),
        "http://127.0.0.1:1",
        slots = 8,
        perRequest = Resources(1_000, 1_000),
        expiresAt = origin + 10.hours,
    )
    val start = AgentState(incarnation = 1, config = configuration(targetMillis = 1_000))
    val ready = machine.step(start, AgentEvent.RuntimeReady(Resources(64_000, 250_000), inventory), origin).state
    return machine.step(ready, AgentEvent.BackendAnnounced(backend), origin).state
}
