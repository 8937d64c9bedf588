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
 * that of this process is not. A breaker guards each path, so that callers do not wait for one that is known to fail.
 *
 * Load pattern: the store is silent for seconds for some processes or for all. The first writes find that out and have
 * an unknown outcome; those after them are rejected at once while no path works.
 */
internal class RecordWriter(
    private val clock: Clock,
    private val storeBreaker: CircuitBreaker = CircuitBreaker(),
    private val ownerBreaker: CircuitBreaker = CircuitBreaker(),
) {
    /**
     * Writes with [direct] or else [throughOwner], and retries both until [deadline] (steady clock, in milliseconds)
     * while the outcome of a call is unknown: a caller may not repeat such a request, so it is better served by a late
     * response than by none. A write that both paths reject is rejected at once. The call through the owner is
     * cancelled at [deadline].
     */
    suspend fun write(
        deadline: Long,
        direct: suspend () -> WriteResult,
        throughOwner: suspend (timeout: Duration) -> WriteResult,
    ): WriteResult {
        var isUncertain = false
        while (true) {
            val storeResult = writeDirectly(direct)
            if (storeResult.isFinal) return storeResult.unlessPending(isUncertain)
            isUncertain = isUncertain || storeResult is WriteResult.Unknown
            val remaining = deadline - clock.steady()
            if (remaining <= 0) {
                return if (isUncertain) WriteResult.Unknown("$storeResult, no time left for the owner") else storeResult
            }
            val ownerResult = writeThroughOwner(minOf(remaining, OWNER_TIMEOUT_MILLIS).milliseconds, throughOwner)
            if (ownerResult.isFinal) {
                logger.event(Level.INFO, "request handled through the owner", "result" to ownerResult)
                return ownerResult.unlessPending(isUncertain)
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
        if (!storeBreaker.allowCall(clock.steady())) {
            return WriteResult.Refused("the store did not take the last writes")
        }
        val result = direct()
        if (result.isFinal) storeBreaker.recordSuccess() else storeBreaker.recordFailure(clock.steady())
        return result
    }

    private suspend fun writeThroughOwner(
        timeout: Duration,
        throughOwner: suspend (timeout: Duration) -> WriteResult,
    ): WriteResult {
        if (!ownerBreaker.allowCall(clock.steady())) {
            return WriteResult.Refused("the owner did not answer the last writes")
        }
        val result = withTimeoutOrNull(timeout) { throughOwner(timeout) } ?: WriteResult.Unknown(OWNER_TIMED_OUT)
        // A rejection needs no time of the caller, so only a lack of responses opens the breaker.
        if (result is WriteResult.Unknown) ownerBreaker.recordFailure(clock.steady()) else ownerBreaker.recordSuccess()
        return result
    }

    /** Whether further tries cannot change the response. */
    private val WriteResult.isFinal: Boolean
        get() = when (this) {
            WriteResult.Stored, is WriteResult.Created, WriteResult.NoSuchJob, WriteResult.Withdrawn -> true
            is WriteResult.Superseded, is WriteResult.LimitReached -> true
            is WriteResult.Refused, is WriteResult.Unknown -> false
        }

    /** A limit says nothing about earlier tries, of which one may be committed if [isUncertain]. */
    private fun WriteResult.unlessPending(isUncertain: Boolean): WriteResult =
        if (isUncertain && this is WriteResult.LimitReached) WriteResult.Unknown(detail) else this

    private companion object {
        /** Delay before a write whose outcome is unknown is retried. */
        const val RETRY_DELAY_MILLIS = 60L

        /** The owner's own call to the store takes up to 0.8 s; half of that again for a busy owner. */
        const val OWNER_TIMEOUT_MILLIS = 1_200L
        const val OWNER_TIMED_OUT = "the owner did not answer in time"
    }
}
