package org.camphorhall.core.jobs

/** Chooses the worker of a task among those that can take it; null to let the task wait. */
internal typealias PlacementPolicy = (task: TaskState, candidates: List<WorkerState>) -> WorkerState?

/**
 * Keeps serving tasks and backfill tasks apart, because a backfill task slows down the serving tasks beside it and is
 * throttled for it.
 *
 * - Serving tasks are packed on few workers.
 * - Backfill tasks go to workers without serving tasks while there is room, then where they would get most processors.
 * - Other tasks use what serving tasks leave, and only then take room from backfill tasks.
 *
 * Workers in the rack of a task's data go before all others.
 */
internal val separateServingFromBackfill: PlacementPolicy = { task, candidates ->
    val near = task.spec.dataRack?.let { rack -> candidates.filter { it.rack == rack } }.orEmpty()
    val usable = near.ifEmpty { candidates }
    when {
        task.spec.isServing -> usable.maxWithOrNull(compareBy({ it.servingCpu }, { it.idleCpu - it.backfillCpu }))
        task.spec.backfill -> usable.maxWithOrNull(compareBy({ it.servingCpu == 0L }, { it.backfillRoom }))
        else -> usable.maxWithOrNull(compareBy({ it.servingCpu > 0L }, { it.idleCpu }))
    }
}
