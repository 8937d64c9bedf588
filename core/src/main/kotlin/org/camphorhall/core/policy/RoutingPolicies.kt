package org.camphorhall.core.policy

import org.camphorhall.core.model.ClassName
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.WorkerId
import org.camphorhall.core.routing.WorkerInfo
import org.camphorhall.core.routing.WorkerSnapshot
import kotlin.random.Random

/** Samples a few workers of the class and chooses the shortest predicted wait; on a tie, the entry's failure domain. */
public fun routeByPredictedWait(snapshot: WorkerSnapshot, request: RoutingRequest, now: MonotonicInstant): WorkerInfo? =
    sample(snapshot, request, now).minWithOrNull(
        compareBy<WorkerInfo> { waitMicros(it, request.className) }
            .thenBy { if (it.failureDomain == request.failureDomain) 0 else 1 },
    )

/** Chooses the worker with the fewest requests; a baseline for measurements. */
public fun routeByLeastOutstanding(
    snapshot: WorkerSnapshot,
    request: RoutingRequest,
    now: MonotonicInstant,
): WorkerInfo? =
    usable(snapshot, request, now).minByOrNull { i ->
        val load = i.classes[request.className]
        (load?.running ?: 0) + (load?.queued ?: 0) + i.requestsSentSinceReport
    }

/** Chooses the workers in turn; a baseline for measurements. The seed is the sequence number of the request. */
public fun routeRoundRobin(snapshot: WorkerSnapshot, request: RoutingRequest, now: MonotonicInstant): WorkerInfo? {
    val all = usable(snapshot, request, now)
    return if (all.isEmpty()) null else all[Math.floorMod(request.seed, all.size.toLong()).toInt()]
}

private fun sample(snapshot: WorkerSnapshot, request: RoutingRequest, now: MonotonicInstant): List<WorkerInfo> {
    val ids = snapshot.byClass[request.className] ?: return emptyList()
    if (ids.size <= SAMPLE_SIZE) return usable(snapshot, request, now)
    val rnd = Random(request.seed)
    val sampled = List(SAMPLE_SIZE) { ids[rnd.nextInt(ids.size)] }
    val found = sampled.distinct().mapNotNull { snapshot.workers[it] }.filter { isCandidate(it, request, now) }
    return found.ifEmpty { usable(snapshot, request, now) }
}

private fun usable(snapshot: WorkerSnapshot, request: RoutingRequest, now: MonotonicInstant): List<WorkerInfo> =
    snapshot.byClass[request.className].orEmpty().mapNotNull { id: WorkerId -> snapshot.workers[id] }
        .filter { isCandidate(it, request, now) }

private fun isCandidate(info: WorkerInfo, request: RoutingRequest, now: MonotonicInstant): Boolean =
    isUsable(info, now) && info.id !in request.tried

/** Predicted wait of one more request, including requests sent since the worker's last report. */
private fun waitMicros(info: WorkerInfo, name: ClassName): Long {
    val load = info.classes[name] ?: return Long.MAX_VALUE
    if (load.slots == 0) return Long.MAX_VALUE
    val mean = maxOf(load.meanServiceMicros, 1)
    val pending = load.running + load.queued + info.requestsSentSinceReport
    val excess = (pending - load.slots + 1).coerceAtLeast(0)
    return maxOf(load.predictedWaitMicros, excess * mean / load.slots) + pending * PENDING_REQUEST_COST_MICROS
}

private const val SAMPLE_SIZE = 4

/** Cost added per pending request, so that idle workers share the load. */
private const val PENDING_REQUEST_COST_MICROS = 10L
