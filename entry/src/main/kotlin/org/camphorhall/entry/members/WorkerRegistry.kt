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

/**
 * Last reported state of the workers, and the batch utilization in the shards of other entries. A missing heartbeat
 * does not mean that a worker has terminated.
 */
internal class WorkerRegistry(private val clock: () -> MonotonicInstant) {
    private val snapshot = AtomicReference(WorkerSnapshot())
    private val configVersions = ConcurrentHashMap<WorkerId, Long>()
    private val remoteUsageByEntry = ConcurrentHashMap<String, Map<TenantName, Resources>>()
    private val startedAt = clock()

    /** Returns the tracked workers. */
    fun snapshot(): WorkerSnapshot = snapshot.get().copy(shapesComplete = clock() - startedAt > SNAPSHOT_WARM_UP)

    /** Applies a report from a heartbeat or another entry, unless a newer one of the worker is present. */
    fun put(info: WorkerInfo) {
        snapshot.updateAndGet { v ->
            val current = v.workers[info.id]
            val newer = current == null || info.incarnation > current.incarnation ||
                (info.incarnation == current.incarnation && info.heartbeatSentAt > current.heartbeatSentAt)
            if (newer) v.put(info) else v
        }
    }

    /** Adds [change] to the requests sent to [worker] since its last report: 1 when sent, -1 when ended. */
    fun recordSent(worker: WorkerId, change: Int) {
        snapshot.updateAndGet { v ->
            val current = v.workers[worker] ?: return@updateAndGet v
            v.put(current.copy(requestsSentSinceReport = (current.requestsSentSinceReport + change).coerceAtLeast(0)))
        }
    }

    /** Marks [worker] as draining, so that it gets no work until its next heartbeat. */
    fun markUnavailable(worker: WorkerId) {
        snapshot.updateAndGet { v ->
            val current = v.workers[worker] ?: return@updateAndGet v
            v.put(current.copy(draining = true))
        }
    }

    /** Adds resources that a shard has just allocated on [worker] to those that its reports do not include yet. */
    fun recordPlacement(worker: WorkerId, resources: Resources) {
        snapshot.updateAndGet { v ->
            val current = v.workers[worker] ?: return@updateAndGet v
            v.put(current.copy(resourcesPlacedSinceReport = current.resourcesPlacedSinceReport + resources))
        }
    }

    /** Removes workers without a report for 30 s. */
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

    /** Sets the batch utilization of each tenant in the shards of another entry. */
    fun setRemoteUsage(entry: String, byTenant: Map<TenantName, Resources>) {
        remoteUsageByEntry[entry] = byTenant
    }

    /** Removes the utilization of entries that are not in [live]. */
    fun retainEntries(live: Set<String>): Boolean = remoteUsageByEntry.keys.retainAll(live)

    /** Returns the batch utilization of each tenant in the shards of all other entries. */
    fun remoteUsage(): Map<TenantName, Resources> {
        val sum = HashMap<TenantName, Resources>()
        for (m in remoteUsageByEntry.values) for ((t, r) in m) sum[t] = (sum[t] ?: Resources.None) + r
        return sum
    }

    private companion object {
        val WORKER_EXPIRY = 30.seconds

        /** Time after the start until the snapshot is complete enough to reject a task that fits no worker. */
        val SNAPSHOT_WARM_UP = 5.seconds
    }
}
