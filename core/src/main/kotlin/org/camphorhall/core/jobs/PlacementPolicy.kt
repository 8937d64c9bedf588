package org.camphorhall.core.jobs

/** Chooses the worker for a task among the candidates that can run it; null to let the task wait. */
internal typealias PlacementPolicy = (task: TrackedTask, candidates: List<TrackedWorker>) -> TrackedWorker?

/**
 * Separates serving tasks of different images, and places backfill tasks where [forecast] expects the least
 * interference.
 *
 * - Serving tasks prefer workers with tasks of their own image, then workers without serving tasks, then workers with
 *   the fewest other images: with more images on a worker, fewer images of backfill tasks can run beside all of them.
 * - Backfill tasks prefer workers where they get the largest share of their CPU, then workers where they cost little
 *   headroom, so that workers without serving tasks remain available to images that interfere.
 * - Other tasks prefer workers with serving tasks, and only then use capacity that backfill tasks could use.
 *
 * Workers in the rack of a task's data precede all others.
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

/** Number of serving images on [w] other than that of [task]; [EMPTY_WORKER_RANK] without serving tasks. */
private fun otherImageCount(task: TrackedTask, w: TrackedWorker): Double {
    val images = w.serving.mapTo(HashSet()) { it.image }
    return if (images.isEmpty()) EMPTY_WORKER_RANK else (images - task.image).size.toDouble()
}

/** Ranks a worker without serving tasks between one with only the same image (0) and one with another image (1). */
private const val EMPTY_WORKER_RANK = 0.5

/** Fraction of its headroom that a serving task may lose before a worker without serving tasks is preferred. */
private const val FREE_WORKER_COST = 0.15

/** Weight of the CPU share against the headroom cost: a share of 0.1 equals all remaining headroom. */
private const val SHARE_WEIGHT = 10
