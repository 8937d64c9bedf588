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

/** What an entry knows of the workers, with an index of the workers that serve each class. */
public data class WorkerSnapshot(
    val workers: PersistentMap<WorkerId, WorkerInfo> = persistentHashMapOf(),
    /** Workers in the order in which they became known, for sampling. */
    val workerIds: PersistentList<WorkerId> = persistentListOf(),
    val byClass: PersistentMap<ClassName, PersistentList<WorkerId>> = persistentMapOf(),
    /** Distinct capacities seen, which tell whether a task can ever fit. */
    val shapes: Set<Resources> = emptySet(),
    /** Whether the view has been filled for long enough to say that a task can never fit. */
    val settled: Boolean = false,
    /** Resources of each tenant's running batch tasks outside the shard that uses the view. */
    val tenantUsage: Map<TenantName, Resources> = emptyMap(),
) {
    /** Adds or replaces a worker. */
    public fun put(info: WorkerInfo): WorkerSnapshot {
        val before = workers[info.id]
        // Most reports change only the load, which the indexes do not show.
        if (before != null && before.capacity == info.capacity && before.classes.keys == info.classes.keys) {
            return copy(workers = workers.put(info.id, info))
        }
        val gone = (before?.classes?.keys ?: emptySet()) - info.classes.keys
        val added = info.classes.keys - (before?.classes?.keys ?: emptySet())
        var index = byClass
        for (c in gone) index = index.put(c, (index[c] ?: persistentListOf()).remove(info.id))
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

    /** Tells whether no worker shape seen so far can hold [need]. */
    public fun neverFits(need: Resources): Boolean = settled && shapes.none { need fitsIn it }
}
