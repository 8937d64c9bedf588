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

/** Follows the operators' configuration. A version never replaces a greater one. */
internal class ConfigWatcher(
    private val source: OperatorConfigSource,
    private val clock: Clock,
    private val onChange: (OperatorConfig) -> Unit = {},
) {
    /** The configuration in force; null until one was read. */
    @Volatile
    var config: OperatorConfig? = null
        private set

    /** When the store was last asked with success, on the steady clock. */
    @Volatile
    var lastReadAt = 0L
        private set

    /** Follows for as long as the caller runs. */
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
                    revision = apply(snapshot)
                    if (revision == 0L) delay(RETRY_DELAY)
                },
            )
        }
    }

    private fun apply(snapshot: OperatorConfigSnapshot): Long {
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
        /** Wait of one watch. A watch that hangs is noticed after this and the call time-out. */
        val WATCH_TIMEOUT = 900.milliseconds
        val RETRY_DELAY = 100.milliseconds
    }
}
