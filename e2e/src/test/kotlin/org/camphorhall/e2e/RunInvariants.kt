package org.camphorhall.e2e

import strikt.api.expectThat
import strikt.assertions.isEmpty

/** Checks that no task has two runs at the same time, and that its attempts and epochs do not go backwards (P2). */
internal fun expectNoOverlappingRuns(runs: List<AttemptRun>) = expectThat(runs).get("overlapping or repeated runs") {
    runsByTask().flatMap { taskRuns ->
        taskRuns.zipWithNext().filter { (a, b) ->
            a.endNanos == null || b.startNanos < a.endNanos || b.attempt <= a.attempt || b.epoch < a.epoch
        }
    }
}.isEmpty()

/** Checks that each run resumes from its predecessor's checkpoint and that no finished task runs again (P3). */
internal fun expectResumedFromCheckpoints(runs: List<AttemptRun>) =
    expectThat(runs).get("runs that do not resume from their predecessor's checkpoint") {
        runsByTask().flatMap { taskRuns ->
            taskRuns.zipWithNext().filter { (a, b) ->
                when {
                    a.end == "finished" -> true
                    // A requested stop writes a final checkpoint; after other stops the last reported one is used.
                    a.reason == "requested" -> b.startProgress != a.endProgress
                    a.end == "stopped" -> b.startProgress > (a.endProgress ?: 0)
                    else -> false
                }
            }
        }
    }.isEmpty()

/** Checks that concurrent runs never request more CPU than [capacity], in thousandths of a core, on any worker (P1). */
internal fun expectWithinCapacity(runs: List<AttemptRun>, cpuOf: (String) -> Long, capacity: Long) =
    expectThat(runs).get("workers over their capacity") {
        groupBy { it.worker }.filterValues { workerRuns ->
            val changes = workerRuns.flatMap { r ->
                listOfNotNull(r.startNanos to cpuOf(r.task), r.endNanos?.let { it to -cpuOf(r.task) })
            }
            val steps = changes.sortedWith(compareBy({ it.first }, { it.second }))
            steps.runningFold(0L) { used, (_, cpu) -> used + cpu }.max() > capacity
        }.keys
    }.isEmpty()

private fun List<AttemptRun>.runsByTask(): List<List<AttemptRun>> =
    groupBy { it.task }.values.map { taskRuns -> taskRuns.sortedBy { it.startNanos } }
