package io.oriolehall.runtime

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level

/** Writes numbered events. */
fun interface EventLog {
    /** Writes [event] with the named [fields]. Values are converted with `toString`. */
    fun write(event: Event, vararg fields: Pair<String, Any?>)
}

/** Writes [event] with a list of [fields], for callers that assemble them step by step. */
@Suppress("SpreadOperator") // The copied array holds only a few fields.
fun EventLog.write(event: Event, fields: List<Pair<String, Any?>>) = write(event, *fields.toTypedArray())

/** Event log on kotlin-logging. The logging back end writes each event as one line of JSON. */
class StructuredEventLog(name: String) : EventLog {
    private val logger = KotlinLogging.logger(name)

    override fun write(event: Event, vararg fields: Pair<String, Any?>) {
        logger.at(event.level.toLoggingLevel()) {
            message = event.text
            payload = buildMap {
                put("event", event.number)
                for ((name, value) in fields) {
                    put(name, value?.toString())
                }
            }
        }
    }

    private fun EventLevel.toLoggingLevel(): Level = when (this) {
        EventLevel.DEBUG -> Level.DEBUG
        EventLevel.INFO -> Level.INFO
        EventLevel.WARN -> Level.WARN
        EventLevel.ERROR -> Level.ERROR
    }
}
