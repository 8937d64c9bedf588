package org.camphorhall.scheduler.support

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import kotlinx.coroutines.delay
import org.camphorhall.platform.operator.OperatorConfig
import org.camphorhall.platform.operator.OperatorConfigSnapshot
import org.camphorhall.platform.operator.OperatorConfigSource
import org.camphorhall.process.event
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Watches the operators' configuration. Ignores versions that are not greater than the current one. */
internal class ConfigWatcher(
    private val source: OperatorConfigSource,
    private val clock: Clock,
    private val onChange: (OperatorConfig) -> Unit = {},
) {
    /** Current configuration; null until the first one is read. */
    @Volatile
    var config: OperatorConfig? = null
        private set

    /** Time of the last successful read of the store on the steady clock, in milliseconds. */
    @Volatile
    var lastReadAt = 0L
        private set

    /** Watches until cancelled. */
    suspend fun run() {
        var revision = 0L
        while (true) {
            val result = if (revision == 0L) source.read() else source.awaitChange(revision, WATCH_TIMEOUT)
            result.fold(
                { error ->
                    logger.event(Level.INFO, "configuration not read", "after" to revision, "reason" to error)
                    revision = 0
                    delay(RETRY_DELAY)
                },
                { snapshot ->
                    lastReadAt = clock.steady()
                    revision = applySnapshot(snapshot)
                    if (revision == 0L) delay(RETRY_DELAY)
                },
            )
        }
    }

    private fun applySnapshot(snapshot: OperatorConfigSnapshot): Long {
        val next = snapshot.config ?: return snapshot.revision
        val current = config
        if (current == null || next.version > current.version) {
            config = next
            logger.event(Level.INFO, "configuration in force", "version" to next.version, "routes" to next.routes.size)
            onChange(next)
        }
        return snapshot.revision
    }

    private companion object {
        /** Duration of one watch. A watch that hangs is detected after this time plus the call timeout. */
        val WATCH_TIMEOUT = 900.milliseconds
        val RETRY_DELAY = 100.milliseconds
    }
}
