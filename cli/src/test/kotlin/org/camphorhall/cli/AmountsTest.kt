package org.camphorhall.cli

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class AmountsTest {
    @ParameterizedTest
    @CsvSource(
        "2s, 2000", "500ms, 500", "1h 30m, 5400000", "8h, 28800000", "1.5h, 5400000", "1d, 86400000",
        "2, ", "'', ", "2x, ", "0s, ", "-2s, ", "500us, ", "1.0005s, ", "2 s, ", "Infinity, ",
    )
    fun `a duration has a unit and is whole milliseconds`(text: String, millis: Long?) {
        expectThat(parseMillis(text).getOrNull()) isEqualTo millis
    }

    @ParameterizedTest
    @CsvSource(
        "8GiB, 8192", "512MiB, 512", "1.5GiB, 1536", "1TiB, 1048576", "0MiB, 0", "8 GiB, 8192",
        "8, ", "8GB, ", "8gib, ", "-1MiB, ", "1.5MiB, ", "99999999999999999999MiB, ", "GiB, ", "'', ",
    )
    fun `a size has a binary unit and is whole MiB`(text: String, mib: Long?) {
        expectThat(parseMib(text).getOrNull()) isEqualTo mib
    }

    @ParameterizedTest
    @CsvSource(
        "4, 4000", "0.25, 250", "0, 0", "1.500, 1500",
        "0.0001, ", "-1, ", "four, ", "4c, ", "1e3, ", "99999999999999999999, ",
    )
    fun `numbers of cores have at most three decimals`(text: String, millis: Long?) {
        expectThat(parseCpuMillis(text).getOrNull()) isEqualTo millis
    }

    // Guards against an error that does not distinguish a missing unit from an unknown one.
    @ParameterizedTest
    @CsvSource(
        "8, missing unit in size \"8\"", "8GB, unknown unit in size \"8GB\"", "GiB, invalid size \"GiB\"",
    )
    fun `a size error states the cause`(text: String, cause: String) {
        expectThat(parseMib(text).leftOrNull()?.substringBefore(';')) isEqualTo cause
    }
}
