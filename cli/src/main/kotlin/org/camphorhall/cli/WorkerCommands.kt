package org.camphorhall.cli

import com.github.ajalt.clikt.parameters.arguments.argument
import io.ktor.http.HttpMethod
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

internal class WorkerList : EntryCommand("list", "List the workers that an entry tracks.") {
    override suspend fun execute(entry: EntryClient) {
        val tree = elements(entry.fetchJson("/v1/workers"), "workers")
        val workers = decode(ListSerializer(WorkerView.serializer()), tree)
        printResult(tree) {
            printTable(
                listOf("WORKER", "DOMAIN", "RACK", "DRAINING", "AGE", "USED", "CAPACITY", "CLASSES"),
                workers.sortedBy { it.id }.map { w ->
                    val load = w.classes.joinToString { "${it.name} ${it.running}/${it.slots}+${it.queued}" }
                    listOf(
                        w.id,
                        w.failureDomain,
                        w.rack,
                        w.draining,
                        formatMillis(w.ageMillis),
                        describe(w.used),
                        describe(w.capacity),
                        load.ifEmpty { "-" },
                    )
                },
            )
        }
    }
}

internal class WorkerDrain : EntryCommand("drain", "Drain a worker: it accepts no work and finishes current work.") {
    private val id by argument("ID").nonBlankName()

    // Draining a worker is idempotent, so the call may be retried.
    override suspend fun execute(entry: EntryClient) {
        val path = "/v1/workers/${encodePathSegment(id)}/drain"
        val response = entry.callOrExit(EntryRequest(HttpMethod.Post, path, retryable = true))
        if (format == OutputFormat.Json) {
            printJson(if (response.text.isBlank()) buildJsonObject { put("id", id) } else parseJson(response))
        } else {
            echo("drain of $id requested")
        }
    }
}
