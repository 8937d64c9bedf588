package org.camphorhall.e2e

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Polls until [probe] returns a value. The timeout only ends tests that would otherwise never end. */
internal fun <T : Any> awaitValue(description: String, timeout: Duration = 60.seconds, probe: () -> T?): T {
    val start = TimeSource.Monotonic.markNow()
    while (true) {
        probe()?.let { return it }
        check(start.elapsedNow() < timeout) { "timed out after $timeout waiting until: $description" }
        Thread.sleep(POLL_MILLIS)
    }
}

/** Polls until [condition] holds. */
internal fun awaitCondition(description: String, timeout: Duration = 60.seconds, condition: () -> Boolean) {
    awaitValue(description, timeout) { true.takeIf { condition() } }
}

private const val POLL_MILLIS = 50L

/** Milliseconds of the host's monotonic clock, which all processes on it share. */
internal fun nowMillis(): Long = System.nanoTime() / 1_000_000
