package org.camphorhall.dev.http

import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlin.random.Random

/** Applies the active faults to requests. [onChange] runs after each change, with the faults as they were set. */
internal class FaultInjector(private val onChange: suspend (Faults) -> Unit = {}) {
    @Volatile
    var active: Faults = Faults()
        private set

    suspend fun set(new: Faults) {
        active = new.copy(expireLeases = false)
        onChange(new)
    }

    /**
     * Runs [handle] under the active faults. For requests that are not [isMutating], a fault that is set while the
     * request is handled also applies. A request that [isStop] is also subject to the faults of stops.
     */
    suspend fun apply(
        isMutating: Boolean,
        isStop: Boolean = false,
        handle: suspend () -> BufferedResponse,
    ): BufferedResponse {
        val before = active
        if (before.silent || isStop && before.dropStops) return awaitDisconnect()
        if (before.outage) return unavailable()
        if (isMutating && Random.nextInt(PERCENT) < before.latePercent) {
            withContext(NonCancellable) {
                delay(before.lateMillis)
                handle()
            }
            return awaitDisconnect()
        }
        if (isMutating) {
            // A mutating request takes effect after the delay even if its caller disconnects in the meantime.
            val response = withContext(NonCancellable) {
                delay(before.delayMillis + if (isStop) before.delayStopsMillis else 0)
                handle()
            }
            return if (before.dropResponses) awaitDisconnect() else response
        }
        delay(before.delayMillis)
        val response = handle()
        val after = active
        return if (after.silent) awaitDisconnect() else if (after.outage) unavailable() else response
    }

    /** Suspends until the caller closes its connection, which cancels the request. */
    private suspend fun awaitDisconnect(): Nothing = awaitCancellation()

    private fun unavailable() = BufferedResponse.error(503, "outage")

    private companion object {
        const val PERCENT = 100
    }
}
