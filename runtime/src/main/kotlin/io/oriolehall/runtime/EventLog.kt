package io.oriolehall.runtime

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level

/** Writes numbered events. */
fun interface EventLog {
    /** Writes [event] with named [fields]; a field's value is written by its `toString`. */
    fun write(event: Event, vararg fields: Pair<String, Any?>)
}

/** Writes [event] with fields that are put together in parts. */
@Suppress("SpreadOperator") // One copy of a few pairs a line.
fun EventLog.write(event: Event, fields: List<Pair<String, Any?>>) = write(event, *fields.toTypedArray())

/** Event log on kotlin-logging; the logging back end writes it as one JSON object a line. */
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
