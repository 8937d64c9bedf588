package org.camphorhall.cli

import com.github.ajalt.clikt.parameters.options.option
import java.time.Instant

internal class ReportCommand : EntryCommand("report", "Show counts per class and reason, and sources without counts.") {
    private val className by option("--class", metavar = "NAME", help = "Show only this class").nonBlankName()

    override suspend fun execute(entry: EntryClient) {
        val all = decode(ReportView.serializer(), entry.fetchJson("/v1/report"))
        val report = all.copy(classes = all.classes.filter { className == null || it.name == className })
        printResult(jsonWithDefaults.encodeToJsonElement(ReportView.serializer(), report)) {
            printTable(
                listOf("CLASS", "OUTCOME", "REASON", "COUNT"),
                report.classes.flatMap { c -> c.counts.map { listOf(c.name, it.outcome, it.reason, it.count) } },
            )
            if (report.unknown.isEmpty()) {
                echo("everything is known")
            } else {
                echo("not known:")
                printTable(
                    listOf("SOURCE", "SINCE", "DETAIL"),
                    report.unknown.map { listOf(it.source, it.sinceMillis?.let(Instant::ofEpochMilli), it.detail) },
                )
            }
        }
    }
}
