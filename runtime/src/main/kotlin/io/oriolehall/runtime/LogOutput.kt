package io.oriolehall.runtime

import ch.qos.logback.classic.LoggerContext
import org.slf4j.LoggerFactory

/** The logging back end of this process. */
object LogOutput {
    /** Writes the lines that still wait in the queue. Nothing is logged afterwards: for the end of the process. */
    fun close() {
        (LoggerFactory.getILoggerFactory() as? LoggerContext)?.stop()
    }
}
