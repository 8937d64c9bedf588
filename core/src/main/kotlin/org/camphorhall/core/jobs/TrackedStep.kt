package org.camphorhall.core.jobs

/** One occurrence of a step. */
internal class TrackedStep(job: String, val occurrence: Int, val index: Int, val spec: StepSpec) {
    val tasks: List<TrackedTask> = List(spec.tasks) { TrackedTask(TaskRef(job, occurrence, index, it), spec) }

    var doneCount = 0
        private set

    val isDone: Boolean get() = doneCount == tasks.size

    /** Since when a gang waits for a single rack; null if it does not wait. */
    var rackWaitSince: Long? = null

    /** Greatest attempt of a gang that counts as failed; 0 if none has failed. */
    var failedAttempt = 0

    /** Number of failed attempts of [t]. All members of a gang share their attempts. */
    fun failuresOf(t: TrackedTask): Int = if (spec.gang) tasks.sumOf { it.failures } else t.failures

    /** Counts the failure of the current attempt of [t]; that of a gang counts once, however many members fail. */
    fun recordFailure(t: TrackedTask) {
        if (spec.gang) {
            if (t.attempt <= failedAttempt) return
            failedAttempt = t.attempt
        }
        t.failures++
    }

    /** Avoids [instance] for the next attempt of [t], and of all members if it belongs to a gang. */
    fun avoid(t: TrackedTask, instance: String) {
        for (member in if (spec.gang) tasks else listOf(t)) member.avoidedInstances += instance
    }

    val hasWaiting: Boolean get() = tasks.any { it.isWaiting }

    fun markDone(t: TrackedTask) {
        if (t.done) return
        t.done = true
        doneCount++
    }
}
