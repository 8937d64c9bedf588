package org.camphorhall.process

import kotlinx.coroutines.CompletableDeferred
import kotlin.time.TimeSource

/** Stop request to the process: SIGTERM, SIGINT or a call of [request]. */
public class ShutdownSignal {
    private val requested = CompletableDeferred<Unit>()

    @Volatile
    private var requestedAt: TimeSource.Monotonic.ValueTimeMark? = null

    /** Whether the stop has been requested. */
    public val isRequested: Boolean get() = requested.isCompleted

    /** Time since the stop was requested, in milliseconds; null before the request. */
    public val elapsedMillis: Long? get() = requestedAt?.elapsedNow()?.inWholeMilliseconds

    /** Suspends until the stop is requested. */
    public suspend fun await(): Unit = requested.await()

    /** Requests the stop; later calls have no effect. */
    public fun request() {
        if (requestedAt == null) requestedAt = TimeSource.Monotonic.markNow()
        requested.complete(Unit)
    }
}
