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
 * that of this process is not. A [breaker] over the direct way keeps callers from waiting for a store that is away.
 */
internal class RecordWriter(private val clock: Clock, private val breaker: CircuitBreaker = CircuitBreaker()) {
    /**
     * Writes [direct] or [throughOwner], and repeats both until [deadline] (steady clock) while the outcome of a call
     * is open. A write that was refused both ways is refused at once. The owner is not waited for past [deadline].
     */
    suspend fun write(
        deadline: Long,
        direct: suspend () -> WriteResult,
        throughOwner: suspend () -> WriteResult,
    ): WriteResult {
        var isUncertain = false
        while (true) {
            val first = writeDirectly(direct)
            if (first.isFinal) return first
            isUncertain = isUncertain || first is WriteResult.Unknown
            val remaining = deadline - clock.steady()
            if (remaining <= 0) {
                return if (isUncertain) WriteResult.Unknown("$first, no time left for the owner") else first
            }
            val second = withTimeoutOrNull(remaining.milliseconds) { throughOwner() }
                ?: WriteResult.Unknown(OWNER_TIMED_OUT)
            if (second.isFinal) return second.also { logger.event(Level.INFO, "record written through the owner") }
            isUncertain = isUncertain || second is WriteResult.Unknown
            if (!isUncertain) return first
            if (clock.steady() + RETRY_DELAY_MILLIS >= deadline) {
                return WriteResult.Unknown("$first, through the owner: $second")
            }
            delay(RETRY_DELAY_MILLIS.milliseconds)
        }
    }

    private suspend fun writeDirectly(direct: suspend () -> WriteResult): WriteResult {
        if (!breaker.allowCall(clock.steady())) return WriteResult.Refused("the store did not take the last writes")
        val result = direct()
        if (result.isFinal) breaker.recordSuccess() else breaker.recordFailure(clock.steady())
        return result
    }

    private val WriteResult.isFinal: Boolean get() = this == WriteResult.Stored || this == WriteResult.NoSuchJob

    private companion object {
        /** Before a write whose outcome is open is repeated. */
        const val RETRY_DELAY_MILLIS = 60L
        const val OWNER_TIMED_OUT = "the owner did not answer in the caller's time"
    }
}
