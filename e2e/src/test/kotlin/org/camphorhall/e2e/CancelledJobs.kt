package org.camphorhall.e2e

import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Jobs of long-running tasks that callers submit, and cancel at random moments, some of them twice. */
internal class CancelledJobs(private val d: SchedulerDeployment, private val random: Random) {
    private val firstSubmits = mutableListOf<String>()
    private val accepted = mutableSetOf<String>()
    private val waiting = mutableListOf<String>()

    /** When callers read the first acknowledgement of a cancellation, on the host's monotonic clock. */
    private val acknowledgedAt = mutableMapOf<String, Long>()
    private val unknownWhenCancelled = mutableListOf<String>()

    /** Jobs whose callers were told that there is no such job. */
    private val withdrawn = mutableSetOf<String>()
    private val acceptedAfterwards = mutableListOf<String>()

    /** Submits a job and cancels some of those that wait for it, the new one included. */
    fun step() {
        val id = "%016x".format(FIRST_ID + firstSubmits.size)
        firstSubmits += id
        submit(id)
        waiting += id
        if (id !in accepted && random.nextBoolean()) {
            // The caller does not know whether there is a job, and a repeated request may arrive after the
            // cancellation.
            cancel(id)
            submit(id)
        }
        val chosen = waiting.filter { random.nextInt(CANCEL_CHOICES) == 0 }
        for (job in chosen) {
            repeat(if (random.nextBoolean()) 1 else 2) { cancel(job) }
        }
        waiting.removeAll { it in acknowledgedAt }
    }

    /** Cancels all jobs until each cancellation is acknowledged. */
    fun cancelAll() {
        awaitCondition("all jobs of long-running tasks are cancelled") {
            waiting.removeAll { cancel(it) }
            waiting.isEmpty()
        }
    }

    /** Waits until no task of the jobs runs, at most [RECOVERY] from [calmAt] on, and returns what breaks a rule. */
    fun awaitViolations(calmAt: Long): List<String> {
        val deadline = calmAt + RECOVERY.inWholeMilliseconds
        var runs = runs()
        while (runs.any { it.end == null } && nowMillis() <= deadline) {
            Thread.sleep(POLL.inWholeMilliseconds)
            runs = runs()
        }
        check(runs.isNotEmpty()) { "no task of a cancelled job has run" }
        println("${withdrawn.size} jobs cancelled as unknown")
        println("${acknowledgedAt.size} jobs cancelled, ${runs.size} runs: ${runs.groupingBy { it.end }.eachCount()}")
        return unknownWhenCancelled.map { "$it was accepted and is unknown when it is cancelled" } +
            acceptedAfterwards.map { "$it was accepted after it was cancelled as unknown" } +
            runs.filter { it.end == null || checkNotNull(it.endedAt) > deadline }.map { "ends too late: $it" } +
            runs.filter { it.startedAt > acknowledgedAt.getValue(it.job) + START_BOUND.inWholeMilliseconds }
                .map { "starts ${it.startedAt - acknowledgedAt.getValue(it.job)} ms after the acknowledgement: $it" }
    }

    private fun runs() = d.runs().runs.filter { it.job in acknowledgedAt }

    private fun submit(job: String) {
        val status = d.submitLongRunning(d.entries.random(random), job)
        if (status == SchedulerDeployment.HTTP_OK) {
            accepted += job
            if (job in withdrawn) acceptedAfterwards += job
        }
    }

    private fun cancel(job: String): Boolean {
        val status = d.cancel(d.entries.random(random), job)
        if (status == GONE && job in accepted) unknownWhenCancelled += job
        if (status == GONE) withdrawn += job
        if (status != SchedulerDeployment.HTTP_OK && status != GONE) return false
        acknowledgedAt.putIfAbsent(job, nowMillis())
        return true
    }

    companion object {
        /** Bound of the platform for the recovery from a fault: a take-over, new connections and a stop take less. */
        val RECOVERY = 12.seconds

        /** Bound of the platform from an acknowledged cancellation to the last start of a task of the job. */
        val START_BOUND = 3.seconds
        private val POLL = 100.milliseconds
        private const val FIRST_ID = 0xc000000L
        private const val CANCEL_CHOICES = 3
        private const val GONE = 410
    }
}
