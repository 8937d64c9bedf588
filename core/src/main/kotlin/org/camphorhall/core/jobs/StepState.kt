package org.camphorhall.core.jobs

/** One occurrence of a step. */
internal class StepState(job: String, val occurrence: Int, val index: Int, val spec: StepSpec) {
    val tasks: List<TaskState> = List(spec.tasks) { TaskState(TaskRef(job, occurrence, index, it), spec) }

    var doneCount = 0
        private set

    val isDone: Boolean get() = doneCount == tasks.size

    val hasWaiting: Boolean get() = tasks.any { it.isWaiting }

    fun markDone(t: TaskState) {
        if (t.done) return
        t.done = true
        doneCount++
    }
}
