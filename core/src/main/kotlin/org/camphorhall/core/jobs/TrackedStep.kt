package org.camphorhall.core.jobs

/** One occurrence of a step. */
internal class TrackedStep(job: String, val occurrence: Int, val index: Int, val spec: StepSpec) {
    val tasks: List<TrackedTask> = List(spec.tasks) { TrackedTask(TaskRef(job, occurrence, index, it), spec) }

    var doneCount = 0
        private set

    val isDone: Boolean get() = doneCount == tasks.size

    val hasWaiting: Boolean get() = tasks.any { it.isWaiting }

    fun markDone(t: TrackedTask) {
        if (t.done) return
        t.done = true
        doneCount++
    }
}
