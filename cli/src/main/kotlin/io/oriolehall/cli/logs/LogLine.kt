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
 * One event in the log of an instance.
 *
 * @property event number of the event, see docs/EVENTS.md.
 * @property fields additional fields of the event, in the order of the line.
 */
internal data class LogLine(
    val timestamp: Instant,
    val logger: String,
    val event: Int,
    val message: String,
    val fields: Map<String, String>,
) {
    val requestId: String? get() = fields["request"]

    companion object {
        private val StandardFields = setOf("@timestamp", "message", "logger_name", "thread_name", "level", "event")

        /** Parses the JSON object in [text], ignoring any prefix. Returns null if [text] holds no log line. */
        fun parse(text: String): LogLine? {
            val start = text.indexOf('{')
            if (start < 0) return null
            return try {
                fromJson(WireJson.parseToJsonElement(text.substring(start)).jsonObject)
            } catch (e: SerializationException) {
                null
            } catch (e: IllegalArgumentException) {
                null
            } catch (e: DateTimeParseException) {
                null
            }
        }

        private fun fromJson(json: JsonObject): LogLine? {
            val fields = json.mapNotNull { (name, value) -> (value as? JsonPrimitive)?.let { name to it } }.toMap()
            val event = fields["event"]?.content?.toIntOrNull() ?: return null
            return LogLine(
                timestamp = OffsetDateTime.parse(fields["@timestamp"]?.content ?: return null).toInstant(),
                logger = fields["logger_name"]?.content.orEmpty(),
                event = event,
                message = fields["message"]?.content.orEmpty(),
                fields = fields.filter { (name, value) -> name !in StandardFields && value !is JsonNull }
                    .mapValues { it.value.content },
            )
        }
    }
}
