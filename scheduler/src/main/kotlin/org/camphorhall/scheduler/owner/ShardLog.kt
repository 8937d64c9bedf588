package org.camphorhall.scheduler.owner

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import org.camphorhall.core.jobs.ShardOutput
import org.camphorhall.process.event
import org.camphorhall.scheduler.support.Clock
import org.camphorhall.scheduler.support.LogLimit

private val logger = KotlinLogging.logger {}

/** Logs the decisions of the owner with [epoch]. The lines of stops are limited, since one cancellation causes many. */
internal class ShardLog(private val epoch: Long, clock: Clock) {
    private val stopLimit = LogLimit(clock, LogLimit.STOP_LINES)

    fun write(e: ShardOutput.LogEvent): Unit =
        if (e.event == STOP_EVENT) stopLimit.log { write(e, suppressed = it) } else write(e, suppressed = 0)

    private fun write(e: ShardOutput.LogEvent, suppressed: Long) {
        logger.event(
            Level.INFO,
            e.event,
            "job" to e.job,
            "task" to e.task,
            "attempt" to e.attempt,
            "worker" to e.worker,
            "detail" to e.detail,
            "ranMillis" to e.ranMillis,
            "epoch" to epoch,
            "suppressed" to suppressed.takeIf { it > 0 },
        )
    }

    private companion object {
        const val STOP_EVENT = "stop sent"
    }
}
