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
internal class WorkerRegistry(private val clock: () -> MonotonicInstant) {
    private val snapshot = AtomicReference(WorkerSnapshot())
    private val configVersions = ConcurrentHashMap<WorkerId, Long>()
    private val remoteUsageByEntry = ConcurrentHashMap<String, Map<TenantName, Resources>>()
    private val startedAt = clock()

    /** Present snapshot. */
    fun snapshot(): WorkerSnapshot = snapshot.get().copy(shapesComplete = clock() - startedAt > SNAPSHOT_WARM_UP)

    /** Takes what a heartbeat or another entry says of a worker. */
    fun put(info: WorkerInfo) {
        snapshot.updateAndGet { v ->
            val current = v.workers[info.id]
            val newer = current == null || info.incarnation > current.incarnation ||
                (info.incarnation == current.incarnation && info.heartbeatSentAt > current.heartbeatSentAt)
            if (newer) v.put(info) else v
        }
    }

    /** Notes that a request was sent to [worker] and that its reports do not show it yet; -1 when it has ended. */
    fun recordSent(worker: WorkerId, change: Int) {
        snapshot.updateAndGet { v ->
            val current = v.workers[worker] ?: return@updateAndGet v
            v.put(current.copy(requestsSentSinceReport = (current.requestsSentSinceReport + change).coerceAtLeast(0)))
        }
    }

    /** Notes that [worker] cannot take work; it gets none until its next heartbeat. */
    fun markUnavailable(worker: WorkerId) {
        snapshot.updateAndGet { v ->
            val current = v.workers[worker] ?: return@updateAndGet v
            v.put(current.copy(draining = true))
        }
    }

    /** Notes resources that a shard has just promised to a worker. */
    fun recordPlacement(worker: WorkerId, resources: Resources) {
        snapshot.updateAndGet { v ->
            val current = v.workers[worker] ?: return@updateAndGet v
            v.put(current.copy(resourcesPlacedSinceReport = current.resourcesPlacedSinceReport + resources))
        }
    }

    /** Removes workers that were not heard from for long. */
    fun removeExpired() {
        val limit = clock() - WORKER_EXPIRY
        val expired = snapshot.get().workers.values.filter { it.lastSeenAt < limit }.map { it.id }
        for (id in expired) {
            snapshot.updateAndGet { it.remove(id) }
            configVersions.remove(id)
        }
    }

    fun recordConfigVersion(worker: WorkerId, version: Long) {
        configVersions[worker] = version
    }

    fun configVersion(worker: WorkerId): Long = configVersions[worker] ?: 0

    /** Sets the batch use of each tenant in the shards of another entry. */
    fun setRemoteUsage(entry: String, byTenant: Map<TenantName, Resources>) {
        remoteUsageByEntry[entry] = byTenant
    }

    /** Drops what was learned from entries that are no longer live. */
    fun retainEntries(live: Set<String>): Boolean = remoteUsageByEntry.keys.retainAll(live)

    /** Batch use of each tenant in the shards of other entries. */
    fun remoteUsage(): Map<TenantName, Resources> {
        val sum = HashMap<TenantName, Resources>()
        for (m in remoteUsageByEntry.values) for ((t, r) in m) sum[t] = (sum[t] ?: Resources.None) + r
        return sum
    }

    private companion object {
        val WORKER_EXPIRY = 30.seconds

        /** Time after which the view is complete enough to say that a task fits nowhere. */
        val SNAPSHOT_WARM_UP = 5.seconds
    }
}
