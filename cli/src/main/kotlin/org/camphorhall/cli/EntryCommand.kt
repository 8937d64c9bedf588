package org.camphorhall.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.findObject
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.enum
import io.ktor.http.HttpMethod
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.put
import org.camphorhall.core.model.Reason

internal val responseJson = Json { ignoreUnknownKeys = true }
private val prettyJson = Json { prettyPrint = true }

/** A command that calls an entry and prints the response. */
internal abstract class EntryCommand(name: String, private val about: String) : CliktCommand(name) {
    private val entryUrls by option("--entry", metavar = "URL", help = "Address of an entry; repeatable").multiple()
    private val outputFormat by option("--output", help = "Output format").enum<OutputFormat> { it.name.lowercase() }

    protected val format: OutputFormat get() = outputFormat ?: root.output ?: OutputFormat.Table
    private val root: RootOptions get() = currentContext.findObject() ?: RootOptions(emptyList(), null)

    override fun help(context: Context): String = about

    override fun run() {
        val urls = entryUrls.ifEmpty { root.entries }
        if (urls.isEmpty()) usageError("no entry given; use --entry URL or set CAMPHORHALL_ENTRY")
        urls.firstOrNull { !it.matches(ENTRY_URL) }
            ?.let { usageError("invalid entry \"$it\"; valid: http://host:port") }
        EntryClient(urls.map { it.trimEnd('/') }).use { runBlocking { execute(it) } }
    }

    protected abstract suspend fun execute(entry: EntryClient)

    /** Sends [request] and returns a successful response; any other result ends the program with its exit code. */
    protected suspend fun EntryClient.callOrExit(request: EntryRequest): EntryResponse = call(request).fold(
        { exitWithoutResponse(it) },
        { if (it.isSuccess) it else exitRejected(it) },
    )

    /** Sends a GET for [path] with [callOrExit] and parses the JSON response. */
    protected suspend fun EntryClient.fetchJson(path: String): JsonElement =
        parseJson(callOrExit(EntryRequest(HttpMethod.Get, path)))

    protected fun parseJson(response: EntryResponse): JsonElement = try {
        Json.parseToJsonElement(response.text)
    } catch (e: SerializationException) {
        exitWith(CliExitCode.RuntimeFailure, "the entry's response is not JSON")
    }

    protected fun <T> decode(serializer: DeserializationStrategy<T>, tree: JsonElement): T = try {
        responseJson.decodeFromJsonElement(serializer, tree)
    } catch (e: IllegalArgumentException) {
        val cause = e.message?.lineSequence()?.first()
        exitWith(CliExitCode.RuntimeFailure, "the entry's response cannot be decoded: $cause")
    }

    /** Returns the elements of a list response, which is a JSON array or an object with the array in [field]. */
    protected fun elements(tree: JsonElement, field: String): JsonArray =
        tree as? JsonArray ?: (tree as? JsonObject)?.get(field) as? JsonArray
            ?: exitWith(CliExitCode.RuntimeFailure, "the entry's response has no list \"$field\"")

    /** Prints [tree] if the output format is JSON, or calls [printAsTable]. */
    protected fun printResult(tree: JsonElement, printAsTable: () -> Unit) {
        if (format == OutputFormat.Json) printJson(tree) else printAsTable()
    }

    protected fun printJson(tree: JsonElement): Unit = echo(prettyJson.encodeToString(JsonElement.serializer(), tree))

    /** Rejects the command line with [message] and the usage of this command. */
    protected fun usageError(message: String): Nothing = throw UsageError(message).also { it.context = currentContext }

    /** Ends the program with [exitCode] after printing [message] to standard error. */
    protected fun exitWith(exitCode: CliExitCode, message: String? = null): Nothing {
        message?.let { echo(it, err = true) }
        throw ProgramResult(exitCode.status)
    }

    /** Prints the problem details of an unsuccessful [response] and ends the program with the matching exit code. */
    protected fun exitRejected(response: EntryResponse): Nothing {
        val problem = try {
            Json.parseToJsonElement(response.text) as? JsonObject
        } catch (e: SerializationException) {
            null
        } ?: buildJsonObject {
            put("title", response.text.ifBlank { "no details" }.lineSequence().first())
            put("status", response.status)
        }
        val exitCode = CliExitCode.of(response.status, problem.text("outcome"))
        if (format == OutputFormat.Json) {
            printJson(problem)
            exitWith(exitCode)
        }
        val codes = listOf("outcome", "reason").mapNotNull { k -> problem.text(k)?.let { "$k $it" } }
        val summary = listOfNotNull(problem.text("title"), problem.text("detail")).joinToString(": ")
        val prefix = if (exitCode == CliExitCode.Conflict) "conflict" else "refused"
        echo("$prefix: $summary (${(listOf("status ${response.status}") + codes).joinToString()})", err = true)
        problem["current"]?.let { echo("current: $it", err = true) }
        exitWith(exitCode)
    }

    /** Prints [failure] and ends the program: exit code 6 if the call may have taken effect, otherwise 4. */
    protected fun exitWithoutResponse(failure: CallFailure): Nothing = when (failure) {
        is CallFailure.Unreachable -> {
            printProblem("no entry reachable", "not-run", Reason.Unreachable)
            exitWith(CliExitCode.Unreachable, "no entry reachable\n" + failure.causes.joinToString("\n"))
        }

        is CallFailure.ConnectionLost -> {
            printProblem("no answer from ${failure.url}", "unknown", Reason.ConnectionLost)
            exitWith(
                CliExitCode.Unknown,
                "no answer from ${failure.url}, the call may have taken effect: ${failure.cause}",
            )
        }
    }

    private fun printProblem(title: String, outcome: String, reason: Reason) {
        if (format != OutputFormat.Json) return
        printJson(
            buildJsonObject {
                put("title", title)
                put("outcome", outcome)
                put("reason", reason.code)
            },
        )
    }

    private companion object {
        val ENTRY_URL = Regex("https?://[^\\s/?#]+/?")
    }
}

internal fun JsonObject.text(field: String): String? = (get(field) as? JsonPrimitive)?.contentOrNull
