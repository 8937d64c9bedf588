package org.camphorhall.cli

import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import io.ktor.http.HttpMethod
import kotlinx.serialization.json.JsonObject

/** A command that changes one item of the configuration. */
internal abstract class ConfigItemCommand(name: String, about: String) : EntryCommand(name, about) {
    private val ifVersion by option(
        "--if-version",
        metavar = "N",
        help = "Apply only if version N last changed the item (0: the item does not exist)",
    ).long().restrictTo(min = 0)

    protected suspend fun EntryClient.change(method: HttpMethod, path: String, body: String? = null) {
        val response = parseJson(callOrExit(EntryRequest(method, path, body, headers = ifMatchHeader(ifVersion))))
        printResult(response) { echo("in force from version ${(response as? JsonObject)?.text("version") ?: "?"}") }
    }
}
