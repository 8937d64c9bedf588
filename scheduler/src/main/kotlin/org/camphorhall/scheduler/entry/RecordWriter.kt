package org.camphorhall.scheduler.entry

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.camphorhall.core.policy.CircuitBreaker
import org.camphorhall.process.event
import org.camphorhall.scheduler.support.Clock
import org.camphorhall.scheduler.support.WriteResult
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/**
 * Writes a record to the store directly, or through the owner of the shard, whose path to the store may be sound when
 * that of this process is not. A [circuit] over the direct way keeps callers from waiting for a store that is away.
 */
internal class RecordWriter(private val clock: Clock, private val circuit: CircuitBreaker = CircuitBreaker()) {
    /**
     * Writes [direct] or [throughOwner], and repeats both until [until] (steady clock) while the outcome of a call is
     * open. A write that was refused both ways is refused at once. The owner is not waited for longer than [until].
     */
    suspend fun write(
        until: Long,
        direct: suspend () -> WriteResult,
        throughOwner: suspend () -> WriteResult,
    ): WriteResult {
        var isOpen = false
        while (true) {
            val first = guarded(direct)
            if (first.isFinal) return first
            isOpen = isOpen || first is WriteResult.Unknown
            val left = until - clock.steady()
            if (left <= 0) return if (isOpen) WriteResult.Unknown("$first, no time left for the owner") else first
            val second = withTimeoutOrNull(left.milliseconds) { throughOwner() } ?: WriteResult.Unknown(OWNER_SILENT)
            if (second.isFinal) return second.also { logger.event(Level.INFO, "record written through the owner") }
            isOpen = isOpen || second is WriteResult.Unknown
            if (!isOpen) return first
            if (clock.steady() + RETRY_MILLIS >= until) return WriteResult.Unknown("$first, through the owner: $second")
            delay(RETRY_MILLIS.milliseconds)
        }
    }

    private suspend fun guarded(direct: suspend () -> WriteResult): WriteResult {
        if (!circuit.allowCall(clock.steady())) return WriteResult.Refused("the store did not take the last writes")
        val result = direct()
        if (result.isFinal) circuit.recordSuccess() else circuit.recordFailure(clock.steady())
        return result
    }

    private val WriteResult.isFinal: Boolean get() = this == WriteResult.Stored || this == WriteResult.NoSuchJob

    private companion object {
        /** Before a write whose outcome is open is repeated. */
        const val RETRY_MILLIS = 60L
        const val OWNER_SILENT = "the owner did not answer in the caller's time"
    }
}
