package org.camphorhall.core.jobs

/** What is learned of the disturbance between images on all workers of a shard. */
internal class InterferenceModel {
    private val filters = HashMap<String, HeadroomFilter>()

    /** Expected headroom of the serving tasks of [t]'s step without backfill tasks beside them. */
    fun level(t: TrackedTask): Double = filters[t.image]?.level(t.ref.stepRef) ?: DEFAULT_LEVEL

    /** Headroom that a serving task of image [serving] loses for each whole worker that tasks of [backfill] use. */
    fun weight(serving: String, backfill: String): Double =
        filters[serving]?.weight(backfill) ?: Interference.DEFAULT_WEIGHT

    /** Records the [headroom] of serving task [t] beside backfill tasks with [utilization] of its worker by image. */
    fun observe(t: TrackedTask, headroom: Double, utilization: Map<String, Double>, now: Long) {
        filters.getOrPut(t.image) { HeadroomFilter() }
            .observe(t.ref.stepRef, headroom.coerceAtMost(MAX_HEADROOM), utilization, now)
    }

    /** Forgets what belongs to steps other than [serving]. */
    fun retainSteps(serving: Set<StepRef>) {
        filters.values.forEach { it.retainSteps(serving) }
        while (filters.size > MAX_SERVING_IMAGES) filters.remove(filters.minBy { it.value.size }.key)
    }

    private companion object {
        /** Headroom of a serving task without figures: at the upper end of its load. */
        const val DEFAULT_LEVEL = 2.0

        /** More headroom than this means an idle task, whose latency says nothing of its load. */
        const val MAX_HEADROOM = 6.0

        /** Bounds the memory; what is known least of is forgotten first. */
        const val MAX_SERVING_IMAGES = 64
    }
}

/** The image of the task, for tables of images. */
internal val TrackedTask.image: String get() = spec.image ?: Interference.NO_IMAGE
