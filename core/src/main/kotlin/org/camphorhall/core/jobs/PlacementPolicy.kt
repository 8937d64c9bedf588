package org.camphorhall.core.jobs

/** Chooses the worker of a task among those that can take it; null to let the task wait. */
internal typealias PlacementPolicy = (task: TaskState, candidates: List<WorkerState>) -> WorkerState?

/**
 * Prefers the worker with the most processors left: idle ones for backfill tasks, unreserved ones otherwise. Workers in
 * the rack of the task's data go first.
 */
internal val spreadByIdleProcessors: PlacementPolicy = { task, candidates ->
    val near = task.spec.dataRack?.let { rack -> candidates.filter { it.rack == rack } }.orEmpty()
    near.ifEmpty { candidates }.maxByOrNull { it.idleCpu - it.backfillCpu }
}
