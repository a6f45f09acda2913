package io.oriolehall.runtime

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.classic.spi.Configurator.ExecutionStatus
import ch.qos.logback.classic.spi.ConfiguratorRank
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.spi.ContextAwareBase

/**
 * Configures Logback with `-Doriolehall.log=queued`: JSON lines on the standard output, written by a thread of their
 * own. Lines that a slow reader does not take are dropped beyond the queue, so that no request waits for the log. The
 * configuration is code because parsing a file takes a fifth of the processor time until an instance listens. The
 * variable `ORIOLEHALL_LOG_LEVEL` sets the level. Without the property, Logback reads its file.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
class QueuedLogConfigurator :
    ContextAwareBase(),
    Configurator {
    override fun configure(context: LoggerContext): ExecutionStatus {
        if (System.getProperty(MODE_PROPERTY) != QUEUED) return ExecutionStatus.INVOKE_NEXT_IF_ANY
        val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
        root.level = Level.toLevel(System.getenv(LEVEL_VARIABLE), Level.INFO)
        root.addAppender(queued(context, console(context)))
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }

    private fun console(context: LoggerContext) = ConsoleAppender<ILoggingEvent>().apply {
        this.context = context
        name = "console"
        encoder = JsonLineEncoder().apply {
            this.context = context
            start()
        }
        start()
    }

    private fun queued(context: LoggerContext, target: ConsoleAppender<ILoggingEvent>) = AsyncAppender().apply {
        this.context = context
        name = "queue"
        queueSize = QUEUE_LINES
        discardingThreshold = 0
        isNeverBlock = true
        addAppender(target)
        start()
    }

    private companion object {
        const val MODE_PROPERTY = "oriolehall.log"
        const val QUEUED = "queued"
        const val LEVEL_VARIABLE = "ORIOLEHALL_LOG_LEVEL"
        const val QUEUE_LINES = 2_048
    }
}
