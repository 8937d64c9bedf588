package org.camphorhall.entry.members

import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Resources
import org.camphorhall.core.model.TenantName
import org.camphorhall.core.model.WorkerId
import org.camphorhall.core.routing.WorkerInfo
import org.camphorhall.core.routing.WorkerSnapshot
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration.Companion.seconds

/** What this entry knows of the workers. Not being heard from never means that a worker is dead. */
internal class Members(private val clock: () -> MonotonicInstant) {
    private val view = AtomicReference(WorkerSnapshot())
    private val configVersions = ConcurrentHashMap<WorkerId, Long>()
    private val usage = ConcurrentHashMap<String, Map<TenantName, Resources>>()
    private val startedAt = clock()

    /** Present view. */
    fun view(): WorkerSnapshot = view.get().copy(shapesComplete = clock() - startedAt > SETTLE)

    /** Takes what a heartbeat or another entry says of a worker. */
    fun put(info: WorkerInfo) {
        view.updateAndGet { v ->
            val held = v.workers[info.id]
            val newer = held == null || info.incarnation > held.incarnation ||
                (info.incarnation == held.incarnation && info.heartbeatSentAt > held.heartbeatSentAt)
            if (newer) v.put(info) else v
        }
    }

    /** Notes that a request was sent to [worker] and that its reports do not show it yet; -1 when it has ended. */
    fun noteSent(worker: WorkerId, change: Int) {
        view.updateAndGet { v ->
            val held = v.workers[worker] ?: return@updateAndGet v
            v.put(held.copy(requestsSentSinceReport = (held.requestsSentSinceReport + change).coerceAtLeast(0)))
        }
    }

    /** Notes that [worker] cannot take work; it gets none until its next heartbeat. */
    fun noteUnreachable(worker: WorkerId) {
        view.updateAndGet { v ->
            val held = v.workers[worker] ?: return@updateAndGet v
            v.put(held.copy(draining = true))
        }
    }

    /** Notes resources that a shard has just promised to a worker. */
    fun notePlaced(worker: WorkerId, resources: Resources) {
        view.updateAndGet { v ->
            val held = v.workers[worker] ?: return@updateAndGet v
            v.put(held.copy(resourcesPlacedSinceReport = held.resourcesPlacedSinceReport + resources))
        }
    }

    /** Removes workers that were not heard from for long. */
    fun expire() {
        val limit = clock() - FORGET
        val gone = view.get().workers.values.filter { it.lastSeenAt < limit }.map { it.id }
        for (id in gone) {
            view.updateAndGet { it.remove(id) }
            configVersions.remove(id)
        }
    }

    fun noteConfig(worker: WorkerId, version: Long) {
        configVersions[worker] = version
    }

    fun configVersion(worker: WorkerId): Long = configVersions[worker] ?: 0

    /** Sets the batch use of each tenant in the shards of another entry. */
    fun setUsage(entry: String, byTenant: Map<TenantName, Resources>) {
        usage[entry] = byTenant
    }

    /** Drops what was learned from entries that are gone. */
    fun retainEntries(live: Set<String>): Boolean = usage.keys.retainAll(live)

    /** Batch use of each tenant in the shards of other entries. */
    fun usageElsewhere(): Map<TenantName, Resources> {
        val sum = HashMap<TenantName, Resources>()
        for (m in usage.values) for ((t, r) in m) sum[t] = (sum[t] ?: Resources.None) + r
        return sum
    }

    private companion object {
        val FORGET = 30.seconds

        /** Time after which the view is complete enough to say that a task fits nowhere. */
        val SETTLE = 5.seconds
    }
}
