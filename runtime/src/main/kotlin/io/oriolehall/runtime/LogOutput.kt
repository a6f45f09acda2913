package io.oriolehall.runtime

import ch.qos.logback.classic.LoggerContext
import org.slf4j.LoggerFactory

/** The logging back end (Logback) of this process. */
object LogOutput {
    /** Writes the queued lines and stops logging. To be called when the process exits. */
    fun close() {
        (LoggerFactory.getILoggerFactory() as? LoggerContext)?.stop()
    }
}
