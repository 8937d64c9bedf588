package org.camphorhall.e2e

import kotlinx.serialization.json.JsonNull

/** A run of an attempt in the history of a worker runtime. Times are readings of the host's monotonic clock. */
internal data class AttemptRun(
    val task: String,
    val epoch: Long,
    val attempt: Long,
    val worker: String,
    val startNanos: Long,
    /** Null while the attempt runs. */
    val endNanos: Long?,
    val startProgress: Long,
    val endProgress: Long?,
    /** `finished`, `failed` or `stopped`; `lost` if the worker was killed; null while the attempt runs. */
    val end: String?,
    /** `requested`, `deadline` or `superseded` for a stopped run, otherwise null. */
    val reason: String?,
) {
    override fun toString(): String =
        "$task#$epoch.$attempt on $worker [$startNanos..$endNanos] $startProgress..$endProgress $end $reason"
}

/** Reads the runs from a worker runtime's history; fails if the history has dropped events. */
internal fun readRunHistory(runtimeUrl: String): List<AttemptRun> {
    val history = Http.call("GET", "$runtimeUrl/debug/history").json
    check(history.number("dropped") == 0L) { "the run history at $runtimeUrl has dropped events" }
    val runs = LinkedHashMap<String, AttemptRun>()
    for (event in history.list("events")) {
        val key = "${event.text("task")} ${event.number("epoch")} ${event.number("attempt")}"
        val atNanos = event.number("atNanos")
        val progress = event.number("progressMillis")
        if (event.text("event") == "start") {
            val (task, epoch, attempt) = Triple(event.text("task"), event.number("epoch"), event.number("attempt"))
            runs[key] =
                AttemptRun(task, epoch, attempt, history.text("instance"), atNanos, null, progress, null, null, null)
        } else {
            val reason = event["reason"]?.takeIf { it != JsonNull }?.let { event.text("reason") }
            runs[key] = runs.getValue(key)
                .copy(endNanos = atNanos, endProgress = progress, end = event.text("event"), reason = reason)
        }
    }
    return runs.values.toList()
}
