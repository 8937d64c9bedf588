package org.camphorhall.core.routing

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.camphorhall.core.model.ClassName
import org.camphorhall.core.model.Resources
import org.camphorhall.core.model.TenantName
import org.camphorhall.core.model.WorkerId

/** Last reported state of all workers, with an index of the workers that serve each class. */
public data class WorkerSnapshot(
    val workers: PersistentMap<WorkerId, WorkerInfo> = persistentHashMapOf(),
    /** Ids of [workers] in the order of their first report, for sampling. */
    val workerIds: PersistentList<WorkerId> = persistentListOf(),
    val byClass: PersistentMap<ClassName, PersistentList<WorkerId>> = persistentMapOf(),
    /** Distinct capacities reported so far, to decide whether a task can ever fit. */
    val shapes: Set<Resources> = emptySet(),
    /** Whether reports were collected for long enough to conclude from [shapes] that a task can never fit. */
    val shapesComplete: Boolean = false,
    /** Resources of each tenant's running batch tasks outside the shard that uses the snapshot. */
    val tenantUsage: Map<TenantName, Resources> = emptyMap(),
) {
    /** Adds or replaces a worker. */
    public fun put(info: WorkerInfo): WorkerSnapshot {
        val before = workers[info.id]
        // Most reports change only the load, which the indexes do not contain.
        if (before != null && before.capacity == info.capacity && before.classes.keys == info.classes.keys) {
            return copy(workers = workers.put(info.id, info))
        }
        val removed = (before?.classes?.keys ?: emptySet()) - info.classes.keys
        val added = info.classes.keys - (before?.classes?.keys ?: emptySet())
        var index = byClass
        for (c in removed) index = index.put(c, (index[c] ?: persistentListOf()).remove(info.id))
        for (c in added) index = index.put(c, (index[c] ?: persistentListOf()).add(info.id))
        return copy(
            workers = workers.put(info.id, info),
            workerIds = if (before == null) workerIds.add(info.id) else workerIds,
            byClass = index,
            shapes = if (info.capacity in shapes) shapes else shapes + info.capacity,
        )
    }

    /** Removes a worker. */
    public fun remove(id: WorkerId): WorkerSnapshot {
        val info = workers[id] ?: return this
        var index = byClass
        for (c in info.classes.keys) index = index.put(c, (index[c] ?: persistentListOf()).remove(id))
        return copy(workers = workers.remove(id), workerIds = workerIds.remove(id), byClass = index)
    }

    /** Returns whether no worker reported so far has the capacity for [need], even when idle. */
    public fun neverFits(need: Resources): Boolean = shapesComplete && shapes.none { need fitsIn it }
}
