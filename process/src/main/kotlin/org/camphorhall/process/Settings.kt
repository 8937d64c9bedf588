package org.camphorhall.process

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

@OptIn(ExperimentalSerializationApi::class)
private val settingsJson = Json {
    allowComments = true
    allowTrailingComma = true
}

/**
 * Reads settings from the JSON file at [path], which may contain comments. Reports all unknown fields, wrong types and
 * missing fields together; [check] runs only if there are none.
 */
public fun <S> readSettings(
    path: Path,
    serializer: KSerializer<S>,
    check: (S) -> List<SettingsProblem> = { emptyList() },
): Either<List<SettingsProblem>, S> = try {
    parseSettings(Files.readString(path), serializer, check)
} catch (e: IOException) {
    listOf(SettingsProblem("", "no readable file at $path (${e::class.simpleName})", "a readable file")).left()
}

/** Parses settings from [text]; see [readSettings]. */
public fun <S> parseSettings(
    text: String,
    serializer: KSerializer<S>,
    check: (S) -> List<SettingsProblem> = { emptyList() },
): Either<List<SettingsProblem>, S> {
    val tree = try {
        settingsJson.parseToJsonElement(text)
    } catch (e: SerializationException) {
        return listOf(syntaxProblem(text, e)).left()
    }
    val shape = shapeProblems(serializer.descriptor, tree)
    if (shape.isNotEmpty()) return shape.left()
    return decode(serializer, tree).fold({ it.left() }) { s ->
        check(s).let { if (it.isEmpty()) s.right() else it.left() }
    }
}

private fun <S> decode(serializer: KSerializer<S>, tree: JsonElement): Either<List<SettingsProblem>, S> = try {
    settingsJson.decodeFromJsonElement(serializer, tree).right()
} catch (e: IllegalArgumentException) {
    // Covers rules that the descriptor does not contain, such as a require() in a constructor.
    listOf(SettingsProblem("", "invalid settings", e.firstLine())).left()
}

// The parser's message quotes the input after its first line, which may contain a secret. Only the offset is used.
private fun syntaxProblem(text: String, e: SerializationException): SettingsProblem {
    val offset = Regex("offset (\\d+)").find(e.message.orEmpty())?.groupValues?.get(1)?.toInt()
    val before = text.take(offset ?: 0)
    val line = before.count { it == '\n' } + 1
    val place = if (offset == null) "" else " at line $line, column ${before.length - before.lastIndexOf('\n')}"
    return SettingsProblem("", "a syntax error$place", "JSON with comments")
}

private fun Throwable.firstLine(): String = message.orEmpty().lineSequence().first()
