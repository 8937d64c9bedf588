package org.camphorhall.scheduler.entry

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.camphorhall.core.policy.CircuitBreaker
import org.camphorhall.process.event
import org.camphorhall.scheduler.support.Clock
import org.camphorhall.scheduler.support.WriteResult
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/**
 * Writes a record to the store directly, or through the owner of the shard, whose path to the store may be healthy when
 * that of this process is not. [breaker] guards the direct path, so that callers do not wait for an unavailable store.
 */
internal class RecordWriter(private val clock: Clock, private val breaker: CircuitBreaker = CircuitBreaker()) {
    /**
     * Writes with [direct] or else [throughOwner], and retries both until [deadline] (steady clock, in milliseconds)
     * while the outcome of a call is unknown. A write that both paths reject is rejected at once. The call through the
     * owner is cancelled at [deadline].
     */
    suspend fun write(
        deadline: Long,
        direct: suspend () -> WriteResult,
        throughOwner: suspend (timeout: Duration) -> WriteResult,
    ): WriteResult {
        var isUncertain = false
        while (true) {
            val storeResult = writeDirectly(direct)
            if (storeResult.isFinal) return storeResult
            isUncertain = isUncertain || storeResult is WriteResult.Unknown
            val remaining = deadline - clock.steady()
            if (remaining <= 0) {
                return if (isUncertain) WriteResult.Unknown("$storeResult, no time left for the owner") else storeResult
            }
            val timeout = remaining.milliseconds
            val ownerResult = withTimeoutOrNull(timeout) { throughOwner(timeout) }
                ?: WriteResult.Unknown(OWNER_TIMED_OUT)
            if (ownerResult.isFinal) {
                return ownerResult.also { logger.event(Level.INFO, "record written through the owner") }
            }
            isUncertain = isUncertain || ownerResult is WriteResult.Unknown
            if (!isUncertain) return storeResult
            if (clock.steady() + RETRY_DELAY_MILLIS >= deadline) {
                return WriteResult.Unknown("$storeResult, through the owner: $ownerResult")
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
        /** Delay before a write whose outcome is unknown is retried. */
        const val RETRY_DELAY_MILLIS = 60L
        const val OWNER_TIMED_OUT = "the owner did not answer in the caller's time"
    }
}
