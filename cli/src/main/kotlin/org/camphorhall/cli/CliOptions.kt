package org.camphorhall.cli

import arrow.core.Either
import com.github.ajalt.clikt.parameters.arguments.ProcessedArgument
import com.github.ajalt.clikt.parameters.arguments.RawArgument
import com.github.ajalt.clikt.parameters.arguments.convert
import com.github.ajalt.clikt.parameters.options.NullableOption
import com.github.ajalt.clikt.parameters.options.RawOption
import com.github.ajalt.clikt.parameters.options.convert
import io.ktor.http.encodeURLPathPart

internal fun RawOption.millis(): NullableOption<Long, Long> = quantity("DURATION", ::parseMillis)

internal fun RawOption.mib(): NullableOption<Long, Long> = quantity("SIZE", ::parseMib)

internal fun RawOption.cpuMillis(): NullableOption<Long, Long> = quantity("CORES", ::parseCpuMillis)

/** Rejects a blank name. */
internal fun RawArgument.nonBlankName(): ProcessedArgument<String, String> =
    convert { it.ifBlank { fail("a name must not be blank") } }

/** Rejects a blank name. */
internal fun RawOption.nonBlankName(): NullableOption<String, String> =
    convert { it.ifBlank { fail("a name must not be blank") } }

internal fun encodePathSegment(name: String): String = name.encodeURLPathPart()

internal fun ifMatchHeader(version: Long?): Map<String, String> =
    if (version == null) emptyMap() else mapOf("If-Match" to version.toString())

private fun RawOption.quantity(metavar: String, parse: (String) -> Either<String, Long>): NullableOption<Long, Long> =
    convert({ metavar }) { text -> parse(text).fold({ fail(it) }, { it }) }
