package org.camphorhall.core.jobs

/** Interference between images, learned from the samples of all workers of a shard. */
internal class InterferenceModel {
    private val filters = HashMap<String, HeadroomFilter>()

    /** Estimated headroom of the serving tasks in the step of [t] without backfill tasks beside them. */
    fun level(t: TrackedTask): Double = filters[t.image]?.level(t.ref.stepRef) ?: DEFAULT_LEVEL

    /** Estimated headroom that a task of image [serving] loses per whole worker used by tasks of image [backfill]. */
    fun weight(serving: String, backfill: String): Double =
        filters[serving]?.weight(backfill) ?: Interference.DEFAULT_WEIGHT

    /** Adds a sample: [headroom] of serving task [t], and [utilization] of its worker by backfill tasks per image. */
    fun observe(t: TrackedTask, headroom: Double, utilization: Map<String, Double>, now: Long) {
        filters.getOrPut(t.image) { HeadroomFilter() }
            .observe(t.ref.stepRef, headroom.coerceAtMost(MAX_HEADROOM), utilization, now)
    }

    /** Removes the levels of steps other than [serving], and the smallest filters above [MAX_SERVING_IMAGES]. */
    fun retainSteps(serving: Set<StepRef>) {
        filters.values.forEach { it.retainSteps(serving) }
        while (filters.size > MAX_SERVING_IMAGES) filters.remove(filters.minBy { it.value.size }.key)
    }

    private companion object {
        /** Headroom assumed for a serving task without samples; corresponds to the upper end of its load. */
        const val DEFAULT_LEVEL = 2.0

        /** Samples are capped at this headroom; above it the task is idle and its latency independent of its load. */
        const val MAX_HEADROOM = 6.0

        /** Bounds the memory; the filter with the fewest state variables is removed first. */
        const val MAX_SERVING_IMAGES = 64
    }
}

/** Image of the task, or [Interference.NO_IMAGE]. */
internal val TrackedTask.image: String get() = spec.image ?: Interference.NO_IMAGE
