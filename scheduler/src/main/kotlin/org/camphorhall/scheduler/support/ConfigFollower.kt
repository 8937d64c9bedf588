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
internal class ConfigFollower(
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
    var checkedAt = 0L
        private set

    /** Follows for as long as the caller runs. */
    suspend fun run() {
        var revision = 0L
        while (true) {
            val reading = if (revision == 0L) source.read() else source.awaitChange(revision, WAIT)
            reading.fold(
                { error ->
                    logger.event(Level.INFO, "configuration not read", "after" to revision, "reason" to error)
                    revision = 0
                    delay(RETRY)
                },
                { r ->
                    checkedAt = clock.steady()
                    revision = take(r)
                    if (revision == 0L) delay(RETRY)
                },
            )
        }
    }

    private fun take(r: OperatorConfigSnapshot): Long {
        val next = r.config ?: return r.revision
        val present = config
        if (present == null || next.version > present.version) {
            config = next
            logger.event(Level.INFO, "configuration in force", "version" to next.version, "routes" to next.routes.size)
            onChange(next)
        }
        return r.revision
    }

    private companion object {
        /** Wait of one watch. A watch that hangs is noticed after this and the call time-out. */
        val WAIT = 900.milliseconds
        val RETRY = 100.milliseconds
    }
}
