package io.oriolehall.cli.logs

import io.oriolehall.model.WireJson
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import java.time.Instant
import java.time.OffsetDateTime
import java.time.format.DateTimeParseException

/**
 * One line of an instance's log.
 *
 * @property event number of the event, as in docs/EVENTS.md.
 * @property fields what the event says beyond its text, in the order of the line.
 */
internal data class LogLine(
    val at: Instant,
    val logger: String,
    val event: Int,
    val message: String,
    val fields: Map<String, String>,
) {
    val request: String? get() = fields["request"]

    companion object {
        private val Framing = setOf("@timestamp", "message", "logger_name", "thread_name", "level", "event")

        /** The line that [text] holds, whatever stands before its JSON object; null when there is none. */
        fun parse(text: String): LogLine? {
            val start = text.indexOf('{')
            if (start < 0) return null
            return try {
                of(WireJson.parseToJsonElement(text.substring(start)).jsonObject)
            } catch (e: SerializationException) {
                null
            } catch (e: IllegalArgumentException) {
                null
            } catch (e: DateTimeParseException) {
                null
            }
        }

        private fun of(json: JsonObject): LogLine? {
            val fields = json.mapNotNull { (name, value) -> (value as? JsonPrimitive)?.let { name to it } }.toMap()
            val event = fields["event"]?.content?.toIntOrNull() ?: return null
            return LogLine(
                at = OffsetDateTime.parse(fields["@timestamp"]?.content ?: return null).toInstant(),
                logger = fields["logger_name"]?.content.orEmpty(),
                event = event,
                message = fields["message"]?.content.orEmpty(),
                fields = fields.filter { (name, value) -> name !in Framing && value !is JsonNull }
                    .mapValues { it.value.content },
            )
        }
    }
}
