package org.camphorhall.scheduler.support

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.AppenderBase
import org.slf4j.LoggerFactory
import java.util.concurrent.CopyOnWriteArrayList

/** Records the log lines of [source], a file of Kotlin sources without its suffix, until it is closed. */
internal class LogCapture(source: String) : AutoCloseable {
    /** A line with its [message] and [fields]. */
    class Line(val message: String, val fields: Map<String, Any?>)

    val lines = CopyOnWriteArrayList<Line>()
    private val logger = LoggerFactory.getLogger("org.camphorhall.scheduler.$source") as Logger
    private val appender = object : AppenderBase<ILoggingEvent>() {
        override fun append(e: ILoggingEvent) {
            lines += Line(e.message, e.keyValuePairs.orEmpty().associate { it.key to it.value })
        }
    }

    init {
        logger.level = Level.INFO
        appender.start()
        logger.addAppender(appender)
    }

    override fun close() {
        logger.detachAppender(appender)
        logger.level = null
    }
}
