package org.camphorhall.cli

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import io.ktor.http.HttpMethod
import kotlinx.serialization.builtins.ListSerializer
import org.camphorhall.core.config.ConfigItem
import org.camphorhall.core.model.ClassName
import org.camphorhall.core.model.Target
import org.camphorhall.core.model.WorkClass

internal class ClassSet : ConfigItemCommand("set", "Create or change a class of work.") {
    private val className by argument("NAME").nonBlankName()
    private val answerWithin by option("--answer-within", help = "Response time target of requests").millis()
    private val finishBy by option("--finish-by", help = "Completion time target of jobs, from submission").millis()
    private val nonIdempotent by option("--non-idempotent", help = "Requests must not run more than once").flag()

    override suspend fun execute(entry: EntryClient) {
        val item = WorkClass(ClassName(className), target(), idempotent = !nonIdempotent)
        val body = jsonWithDefaults.encodeToString(WorkClass.serializer(), item)
        entry.change(HttpMethod.Put, classPath(className), body)
    }

    override fun run() {
        target()
        super.run()
    }

    private fun target(): Target {
        val within = answerWithin
        val by = finishBy
        return when {
            within != null && by == null -> Target.AnswerWithin(within)
            by != null && within == null -> Target.FinishBy(by)
            within == null -> usageError("no target given; use --answer-within or --finish-by")
            else -> usageError("two targets given; use either --answer-within or --finish-by")
        }
    }
}

internal class ClassShow : EntryCommand("show", "Show one class of work.") {
    private val className by argument("NAME").nonBlankName()

    override suspend fun execute(entry: EntryClient) {
        val found = decode(ConfigView.serializer(), entry.fetchJson("/v1/config")).classes
            .filter { it.value.name.value == className }
        if (found.isEmpty()) exitWith(CliExitCode.NotFound, "no class \"$className\"")
        val tree = jsonWithDefaults.encodeToJsonElement(ConfigItem.serializer(), found.single())
        printResult(tree) { printClasses(found) }
    }
}

internal class ClassList : EntryCommand("list", "List the classes of work.") {
    override suspend fun execute(entry: EntryClient) {
        val classes = decode(ConfigView.serializer(), entry.fetchJson("/v1/config")).classes
        val tree = jsonWithDefaults.encodeToJsonElement(ListSerializer(ConfigItem.serializer()), classes)
        printResult(tree) { printClasses(classes) }
    }
}

internal class ClassRemove : ConfigItemCommand("remove", "Remove a class of work.") {
    private val className by argument("NAME").nonBlankName()

    override suspend fun execute(entry: EntryClient): Unit = entry.change(HttpMethod.Delete, classPath(className))
}

internal fun describe(target: Target): String = when (target) {
    is Target.AnswerWithin -> "answer within ${formatMillis(target.millis)}"
    is Target.FinishBy -> "finish by ${formatMillis(target.millis)}"
}

private fun EntryCommand.printClasses(classes: List<ConfigItem.OfClass>) = printTable(
    listOf("CLASS", "TARGET", "IDEMPOTENT", "VERSION"),
    classes.map { listOf(it.value.name, describe(it.value.target), it.value.idempotent, it.version) },
)

private fun classPath(name: String) = "/v1/config/classes/${encodePathSegment(name)}"
