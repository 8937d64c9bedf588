package org.camphorhall.e2e

import kotlinx.serialization.json.JsonNull

/** One run of an attempt on a worker, from the worker runtime's history. Times are on the common monotonic clock. */
internal data class AttemptRun(
    val task: String,
    val epoch: Long,
    val attempt: Long,
    val worker: String,
    val startNanos: Long,
    /** Null while it runs. */
    val endNanos: Long?,
    val startProgress: Long,
    val endProgress: Long?,
    /** How it ended: `finished`, `failed`, `stopped`, or `lost` with its worker. */
    val end: String?,
    /** `requested`, `deadline` or `superseded` for a stopped run. */
    val reason: String?,
) {
    override fun toString(): String =
        "$task#$epoch.$attempt on $worker [$startNanos..$endNanos] $startProgress..$endProgress $end $reason"
}

/** Runs in the history of a worker runtime. */
internal fun readRunHistory(runtimeUrl: String): List<AttemptRun> {
    val history = Http.call("GET", "$runtimeUrl/debug/history").json
    check(history.number("dropped") == 0L) { "the history is not complete" }
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
