package org.camphorhall.cli

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo
import io.ktor.http.HttpMethod
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.camphorhall.core.model.Resources
import java.util.UUID

internal class JobSubmit : JobCommand("submit", "Submit a batch job.") {
    private val className by option("--class", metavar = "NAME").nonBlankName().required()
    private val tenant by option("--tenant", metavar = "NAME").nonBlankName().required()
    private val cpu by option("--cpu", help = "Cores of one task").cpuMillis().required()
    private val memory by option("--memory", help = "Memory of one task").mib().required()
    private val accelerators by option("--accelerators", help = "Accelerators of one task")
        .int().restrictTo(min = 0).default(0)
    private val expected by option("--expected", help = "Expected run time of one task").millis().required()
    private val payload by option("--payload", metavar = "TEXT", help = "Payload passed to each task").required()
    private val tasks by option("--tasks", metavar = "N", help = "Number of identical tasks").int().restrictTo(min = 1)
        .default(1)
    private val key by option("--key", help = "Idempotency key; random if absent").nonBlankName()
    private val wait by option("--wait", help = "Wait until the job ends").flag()

    override suspend fun execute(entry: EntryClient) {
        // An idempotency key, even a random one, allows a retry at the next entry without submitting the job twice.
        val idempotencyKey = key ?: UUID.randomUUID().toString()
        val body = buildJsonObject {
            put("class", className)
            put("tenant", tenant)
            val resources = Resources(cpu, memory, accelerators)
            put("resources", jsonWithDefaults.encodeToJsonElement(Resources.serializer(), resources))
            put("expectedMillis", expected)
            put("payload", payload)
            put("tasks", tasks)
        }
        val request = EntryRequest(
            HttpMethod.Post,
            "/v1/jobs",
            body.toString(),
            headers = mapOf("Idempotency-Key" to idempotencyKey),
            retryable = true,
        )
        val outcome = entry.call(request)
        outcome.onLeft {
            if (it is CallFailure.ConnectionLost) echo("repeat safely with --key $idempotencyKey", err = true)
        }
        val response = parseJson(
            outcome.fold({ exitWithoutResponse(it) }, { if (it.isSuccess) it else exitRejected(it) }),
        )
        val id = (response as? JsonObject)?.text("id")
            ?: exitWith(CliExitCode.RuntimeFailure, "the entry's response has no job id")
        if (wait) {
            entry.watchJob(id)
        } else {
            printResult(response) { echo(id) }
        }
    }
}

internal class JobShow : JobCommand("show", "Show the status of a job.") {
    private val id by argument("ID").nonBlankName()

    override suspend fun execute(entry: EntryClient): Unit = showJob(entry.fetchJson(jobPath(id)))
}

internal class JobWatch : JobCommand("watch", "Show the progress of a job until it ends.") {
    private val id by argument("ID").nonBlankName()

    override suspend fun execute(entry: EntryClient): Unit = entry.watchJob(id)
}

internal class JobList : JobCommand("list", "List the jobs.") {
    override suspend fun execute(entry: EntryClient) {
        val tree = elements(entry.fetchJson("/v1/jobs"), "jobs")
        val jobs = decode(ListSerializer(JobView.serializer()), tree)
        printResult(tree) {
            printTable(
                listOf("JOB", "CLASS", "TENANT", "STATE", "REASON", "DONE"),
                jobs.map { j ->
                    val done = "${j.tasks.count { it.state == "done" }}/${j.tasks.size}"
                    listOf(j.id, j.className, j.tenant, j.state, j.reason, done)
                },
            )
        }
    }
}

internal class JobCancel : JobCommand("cancel", "Cancel a job.") {
    private val id by argument("ID").nonBlankName()

    // Cancelling a job is idempotent, so the call may be retried.
    override suspend fun execute(entry: EntryClient) {
        val response = entry.callOrExit(EntryRequest(HttpMethod.Delete, jobPath(id), retryable = true))
        if (format == OutputFormat.Json) {
            printJson(
                if (response.text.isBlank()) buildJsonObject { put("id", JsonPrimitive(id)) } else parseJson(response),
            )
        } else {
            echo("cancellation of $id recorded")
        }
    }
}
