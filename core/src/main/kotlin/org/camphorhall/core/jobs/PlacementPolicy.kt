package org.camphorhall.core.jobs

/** Chooses the worker of a task among those that can take it; null to let the task wait. */
internal typealias PlacementPolicy = (task: TrackedTask, candidates: List<TrackedWorker>) -> TrackedWorker?

/**
 * Keeps serving tasks of different images apart, and lets backfill tasks run where [forecast] expects them to disturb
 * least.
 *
 * - Serving tasks go to workers with tasks of their own image, then to empty ones, then where the fewest other images
 *   are: the more images are on a worker, the fewer images of backfill tasks can run beside all of them.
 * - Backfill tasks go where they get most of their processors; among those, to workers where they cost little
 *   headroom, so that workers without serving tasks stay free for images that disturb.
 * - Other tasks use what serving tasks leave, and only then take room from backfill tasks.
 *
 * Workers in the rack of a task's data go before all others.
 */
internal fun interferenceAwarePlacement(forecast: BackfillForecast): PlacementPolicy = { task, candidates ->
    val inDataRack = task.spec.dataRack?.let { rack -> candidates.filter { it.rack == rack } }.orEmpty()
    val usable = inDataRack.ifEmpty { candidates }
    when {
        task.spec.isServing -> usable.maxWithOrNull(
            compareBy({ -otherImageCount(task, it) }, { it.servingCpu }, { it.idleCpu - it.backfillCpu }),
        )
        task.spec.backfill -> usable.maxByOrNull { w ->
            val cost = if (w.servingCpu > 0L) forecast.headroomCost(task, w) else FREE_WORKER_COST
            forecast.share(task, w) * SHARE_WEIGHT - cost
        }
        else -> usable.maxWithOrNull(compareBy({ it.servingCpu > 0L }, { it.idleCpu }))
    }
}

/** Images of serving tasks on [w] other than that of [task], or a half on a worker without any. */
private fun otherImageCount(task: TrackedTask, w: TrackedWorker): Double {
    val images = w.serving.mapTo(HashSet()) { it.image }
    return if (images.isEmpty()) EMPTY_WORKER_RANK else (images - task.image).size.toDouble()
}

/** An empty worker ranks between one with tasks of the same image only and one with tasks of another. */
private const val EMPTY_WORKER_RANK = 0.5

/** Part of its headroom that a serving task may lose before an empty worker is preferred. */
private const val FREE_WORKER_COST = 0.15

/** A tenth of a task's processors is worth as much as all headroom that is left. */
private const val SHARE_WEIGHT = 10
