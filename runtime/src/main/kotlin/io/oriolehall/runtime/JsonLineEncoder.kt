package io.oriolehall.runtime

import ch.qos.logback.classic.pattern.ExtendedThrowableProxyConverter
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.encoder.EncoderBase
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import java.time.ZoneId
import java.time.format.DateTimeFormatter

/**
 * Encodes each event as one line of JSON, with the names, order and formats of the fields of `LogstashEncoder` of
 * logstash-logback-encoder. That one is based on Jackson, whose 391 classes a start would load only for the log.
 */
class JsonLineEncoder : EncoderBase<ILoggingEvent>() {
    private val timestamps = DateTimeFormatter.ISO_OFFSET_DATE_TIME.withZone(ZoneId.systemDefault())
    private val stackTraces by lazy { ExtendedThrowableProxyConverter().apply { start() } }

    override fun headerBytes(): ByteArray? = null

    override fun footerBytes(): ByteArray? = null

    override fun encode(event: ILoggingEvent): ByteArray {
        val fields = LinkedHashMap<String, JsonElement>()
        fields["@timestamp"] = JsonPrimitive(timestamps.format(event.instant))
        fields["message"] = JsonPrimitive(event.formattedMessage)
        fields["logger_name"] = JsonPrimitive(event.loggerName)
        fields["thread_name"] = JsonPrimitive(event.threadName)
        fields["level"] = JsonPrimitive(event.level.toString())
        if (event.throwableProxy != null) fields["stack_trace"] = JsonPrimitive(stackTraces.convert(event))
        event.mdcPropertyMap.forEach { (name, value) -> fields[name] = JsonPrimitive(value) }
        event.keyValuePairs?.forEach { pair -> pair.value?.let { fields[pair.key] = element(it) } }
        event.markerList?.let { markers -> fields["tags"] = JsonArray(markers.map { JsonPrimitive(it.name) }) }
        return "${JsonObject(fields)}\n".encodeToByteArray()
    }

    private fun element(value: Any): JsonElement = when (value) {
        is Number -> JsonPrimitive(value)
        is Boolean -> JsonPrimitive(value)
        else -> JsonPrimitive(value.toString())
    }
}
