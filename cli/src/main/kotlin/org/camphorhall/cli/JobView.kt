package org.camphorhall.cli

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Status of a job in the responses of `/v1/jobs`. */
@Serializable
internal data class JobView(
    val id: String,
    @SerialName("class") val className: String = "",
    val tenant: String = "",
    val state: String,
    val reason: String? = null,
    val tasks: List<TaskView> = emptyList(),
    val submittedMillis: Long? = null,
    val finishByMillis: Long? = null,
) {
    /** Exit code for the outcome of the job; null while the job has not ended. */
    val exitCode: CliExitCode?
        get() = when (state) {
            "done" -> CliExitCode.Ok
            "failed" -> CliExitCode.Failed
            "cancelled" -> CliExitCode.Cancelled
            else -> null
        }

    fun summary(): String {
        val states = tasks.groupingBy { it.state }.eachCount().toSortedMap()
            .map { (state, n) -> "$n $state" }.joinToString().ifEmpty { "no tasks" }
        val progress = formatMillis(tasks.sumOf { it.progressMillis })
        val reasonSuffix = reason?.let { " ($it)" }.orEmpty()
        return "job $id $state$reasonSuffix: $states; progress $progress, ${tasks.sumOf { it.evictions }} evictions"
    }
}
