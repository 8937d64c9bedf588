package org.camphorhall.cli

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.types.path
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.camphorhall.core.config.ConfigItem
import org.camphorhall.process.SettingsProblem
import org.camphorhall.process.readSettings

/** Writes default values, so that configuration items are printed and sent with all their fields. */
internal val jsonWithDefaults = Json { encodeDefaults = true }

internal class ConfigShow : EntryCommand("show", "Show the configuration in force.") {
    override suspend fun execute(entry: EntryClient) {
        val tree = entry.fetchJson("/v1/config")
        val config = decode(ConfigView.serializer(), tree)
        printResult(tree) {
            echo("version ${config.version}")
            printTable(
                listOf("ITEM", "VALUE", "VERSION"),
                config.items.sortedBy { it.key }.map { listOf(it.key, describe(it), it.version) },
            )
        }
    }
}

internal class ConfigDiff : EntryCommand("diff", "Compare a file of items with the configuration in force.") {
    private val file by argument("FILE", help = "JSON with comments, in the format of config show --output json").path()

    override suspend fun execute(entry: EntryClient) {
        val desired = readSettings(file, ConfigFile.serializer(), ::duplicateKeys).fold({ problems ->
            exitWith(CliExitCode.InvalidFile, problems.joinToString("\n") { "$file: $it" })
        }) { c -> c.items.map { it.toItem() } }
        val found = diffItems(decode(ConfigView.serializer(), entry.fetchJson("/v1/config")).items, desired)
        printResult(jsonWithDefaults.encodeToJsonElement(ListSerializer(ConfigDifference.serializer()), found)) {
            if (found.isEmpty()) {
                echo("no differences")
            } else {
                printTable(
                    listOf("ITEM", "IN FORCE", "FILE"),
                    found.map { listOf(it.key, describe(it.inForce), describe(it.file)) },
                )
            }
        }
        if (found.isNotEmpty()) exitWith(CliExitCode.Different)
    }
}

private fun duplicateKeys(config: ConfigFile): List<SettingsProblem> =
    config.items.withIndex().groupBy { it.value.toItem().key }.values.flatMap { it.drop(1) }.map {
        SettingsProblem("items[${it.index}]", "a duplicate item ${it.value.toItem().key}", "one item per key")
    }

private fun describe(item: ConfigItem?): String = when (item) {
    is ConfigItem.OfClass -> describe(item.value.target) + if (item.value.idempotent) "" else ", non-idempotent"
    is ConfigItem.OfQuota -> "${describe(item.value.batch)}, ${item.value.requestsInFlight} requests"
    is ConfigItem.Removed -> "removed"
    null -> "-"
}
