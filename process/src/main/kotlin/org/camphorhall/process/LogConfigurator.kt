package org.camphorhall.process

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.spi.ContextAwareBase
import org.slf4j.Logger

/**
 * Configures logging as JSON lines on standard output. Logback loads this class as a service, since parsing a
 * configuration file would take a fifth of the processor time of a program's start.
 */
internal class LogConfigurator : ContextAwareBase(), Configurator {
    override fun configure(context: LoggerContext): Configurator.ExecutionStatus {
        val stdout = ConsoleAppender<ILoggingEvent>().apply {
            this.context = context
            encoder = JsonLineEncoder().apply { start() }
            start()
        }
        // If standard output is read too slowly, log lines are dropped; the threads that log never block.
        val async = AsyncAppender().apply {
            this.context = context
            queueSize = LOG_QUEUE_CAPACITY
            isNeverBlock = true
            addAppender(stdout)
            start()
        }
        context.getLogger(PROJECT_LOGGER).level = Level.toLevel(System.getenv(LEVEL_VARIABLE), Level.INFO)
        context.getLogger(Logger.ROOT_LOGGER_NAME).apply {
            level = Level.WARN
            addAppender(async)
        }
        return Configurator.ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }

    private companion object {
        const val PROJECT_LOGGER = "org.camphorhall"

        /** Environment variable for the level of the loggers below [PROJECT_LOGGER]. */
        const val LEVEL_VARIABLE = "CAMPHORHALL_LOG_LEVEL"

        /** Number of queued log lines, about 2 MB. */
        const val LOG_QUEUE_CAPACITY = 4_096
    }
}
