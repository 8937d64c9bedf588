package org.camphorhall.core.jobs

/** Identifies one occurrence of a step of [job]. */
internal data class StepRef(val job: String, val occurrence: Int, val step: Int)

/** The step that the task belongs to. */
internal val TaskRef.stepRef: StepRef get() = StepRef(job, occurrence, step)
