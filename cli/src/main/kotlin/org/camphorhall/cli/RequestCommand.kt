package org.camphorhall.cli

import com.github.ajalt.clikt.core.terminal
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import io.ktor.http.HttpMethod
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

// The entry responds by the deadline at the latest; the allowance covers the network round trip.
private val NETWORK_ALLOWANCE = 5.seconds
private val DEFAULT_RESPONSE_TIMEOUT = 60.seconds

internal class RequestCommand : EntryCommand("request", "Send a latency-critical request and print the response.") {
    private val className by option("--class", metavar = "NAME").nonBlankName().required()
    private val tenant by option("--tenant", metavar = "NAME").nonBlankName().required()
    private val key by option("--key", help = "Idempotency key, required for a non-idempotent class").nonBlankName()
    private val timeout by option("--timeout", help = "Timeout of the request").millis()
    private val body by argument("BODY", help = "Body of the request; - reads it from standard input")

    override suspend fun execute(entry: EntryClient) {
        val headers = buildMap {
            put("X-Tenant", tenant)
            key?.let { put("Idempotency-Key", it) }
            timeout?.let { put("X-Timeout-Ms", it.toString()) }
        }
        val response = entry.callOrExit(
            EntryRequest(
                HttpMethod.Post,
                "/v1/classes/${encodePathSegment(className)}/requests",
                if (body == "-") System.`in`.readBytes().decodeToString() else body,
                isJson = false,
                headers = headers,
                timeout = timeout?.let { it.milliseconds + NETWORK_ALLOWANCE } ?: DEFAULT_RESPONSE_TIMEOUT,
            ),
        )
        if (format == OutputFormat.Json) {
            printJson(
                buildJsonObject {
                    put("outcome", "completed")
                    put("requestId", response.requestId)
                    put("body", response.text)
                },
            )
        } else {
            terminal.rawPrint(response.text.removeSuffix("\n") + "\n")
        }
    }
}
