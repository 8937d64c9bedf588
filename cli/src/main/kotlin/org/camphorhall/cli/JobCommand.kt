package org.camphorhall.cli

import com.github.ajalt.clikt.core.terminal
import com.github.ajalt.mordant.animation.textAnimation
import io.ktor.http.HttpMethod
import kotlinx.coroutines.delay
import kotlinx.serialization.json.JsonElement
import kotlin.time.Duration.Companion.milliseconds

private val POLL_INTERVAL = 500.milliseconds

// A job survives the restart of an entry and a takeover of its shard, so a watch tolerates a short series of failed
// polls.
private const val MAX_FAILED_POLLS = 60

/** Base of the job commands, with the output of a job's status and progress. */
internal abstract class JobCommand(name: String, about: String) : EntryCommand(name, about) {
    protected fun showJob(tree: JsonElement) {
        val job = decode(JobView.serializer(), tree)
        printResult(tree) {
            echo("${job.summary()}; class ${job.className}, tenant ${job.tenant}")
            printTable(
                listOf("TASK", "STATE", "ATTEMPT", "WORKER", "PROGRESS", "EVICTIONS", "REASON", "RESULT"),
                job.tasks.map {
                    listOf(
                        it.index,
                        it.state,
                        it.attempt,
                        it.worker,
                        formatMillis(it.progressMillis),
                        it.evictions,
                        it.reason,
                        it.result,
                    )
                },
            )
        }
    }

    /**
     * Prints the progress of the job [id] until it ends, then its status. Ends the program with the exit code of the
     * job unless it is done.
     */
    protected suspend fun EntryClient.watchJob(id: String) {
        val animation = terminal.textAnimation<String> { it }
        val interactive = terminal.terminalInfo.outputInteractive
        var last = ""
        var tree = poll(id)
        while (true) {
            val job = decode(JobView.serializer(), tree)
            val line = job.summary()
            if (format == OutputFormat.Table) {
                if (interactive) animation.update(line) else if (line != last) echo(line)
            }
            last = line
            val exitCode = job.exitCode
            if (exitCode != null) {
                if (interactive && format == OutputFormat.Table) animation.stop()
                showJob(tree)
                if (exitCode != CliExitCode.Ok) exitWith(exitCode)
                return
            }
            delay(POLL_INTERVAL)
            tree = poll(id)
        }
    }

    private suspend fun EntryClient.poll(id: String): JsonElement {
        var failedPolls = 0
        while (true) {
            val response = call(EntryRequest(HttpMethod.Get, jobPath(id)))
            val isTransient = response.fold({ true }, { it.status >= 500 })
            if (!isTransient || ++failedPolls > MAX_FAILED_POLLS) {
                return parseJson(
                    response.fold({ exitWithoutResponse(it) }, { if (it.isSuccess) it else exitRejected(it) }),
                )
            }
            delay(POLL_INTERVAL)
        }
    }
}

internal fun jobPath(id: String): String = "/v1/jobs/${encodePathSegment(id)}"
