package org.camphorhall.scheduler.support

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import kotlinx.coroutines.delay
import org.camphorhall.platform.operator.EvacuationChanges
import org.camphorhall.platform.operator.EvacuationSource
import org.camphorhall.process.event
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** The evacuated failure [domains]; [currentAt] is a time on the steady clock at which they were current. */
internal class EvacuationState(val domains: Set<String>, val currentAt: Long)

/** Watches which failure domains the operators evacuate. A failed watch is replaced by a read of all requests. */
internal class EvacuationWatcher(
    private val source: EvacuationSource,
    private val clock: Clock,
    private val onUpdate: (EvacuationState) -> Unit,
) {
    private var domains = emptySet<String>()

    /** Watches until cancelled. */
    suspend fun run() {
        var revision = 0L
        while (true) {
            val sentAt = clock.steady()
            val result = if (revision == 0L) source.read() else source.awaitChange(revision, WATCH_TIMEOUT)
            result.fold(
                { error ->
                    logger.event(Level.INFO, "evacuations not read", "after" to revision, "reason" to error)
                    revision = 0
                    delay(RETRY_DELAY)
                },
                { changes ->
                    apply(changes, isComplete = revision == 0L, sentAt)
                    revision = changes.revision
                    if (revision == 0L) delay(RETRY_DELAY)
                },
            )
        }
    }

    private fun apply(changes: EvacuationChanges, isComplete: Boolean, sentAt: Long) {
        changes.invalidKeys.forEach { logger.event(Level.WARN, "evacuation without a failure domain", "key" to it) }
        val isUnchanged = changes.requested.isEmpty() && changes.ended.isEmpty()
        domains = if (isComplete) changes.requested else domains - changes.ended + changes.requested
        // A watch without changes is answered at the end of its time.
        val waitedMillis = if (!isComplete && isUnchanged) WATCH_TIMEOUT.inWholeMilliseconds else 0
        onUpdate(EvacuationState(domains, minOf(sentAt + waitedMillis, clock.steady())))
    }

    private companion object {
        /** Short, so that a state without changes stays recent enough for starts. */
        val WATCH_TIMEOUT = 700.milliseconds
        val RETRY_DELAY = 100.milliseconds
    }
}
