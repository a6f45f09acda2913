package io.oriolehall.runtime

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.LoggingEvent
import ch.qos.logback.classic.util.LogbackMDCAdapter
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import net.logstash.logback.encoder.LogstashEncoder
import net.logstash.logback.fieldnames.LogstashFieldNames
import org.junit.jupiter.api.Test
import org.slf4j.MarkerFactory
import org.slf4j.event.KeyValuePair
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.endsWith
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import java.io.IOException
import java.time.Instant

/** Guards against lines that differ from those of LogstashEncoder, whose format readers of the log rely on. */
class JsonLineEncoderTest {
    private val context = LoggerContext().apply { mdcAdapter = LogbackMDCAdapter() }
    private val reference = LogstashEncoder().apply {
        this.context = this@JsonLineEncoderTest.context
        fieldNames = LogstashFieldNames().apply {
            version = "[ignore]"
            levelValue = "[ignore]"
        }
        start()
    }

    private fun event(message: String, error: Throwable? = null) =
        LoggingEvent("test", context.getLogger("logger"), Level.WARN, message, error, emptyArray()).apply {
            setInstant(Instant.parse("2026-12-06T21:00:00.120300Z"))
        }

    private fun expectSameLine(event: LoggingEvent) {
        val line = JsonLineEncoder().encode(event).decodeToString()
        val expected = reference.encode(event).decodeToString()
        expectThat(line).endsWith("\n")
        expectThat(line.trimEnd().lines()).hasSize(1)
        val (fields, expectedFields) = listOf(line, expected).map { Json.parseToJsonElement(it).jsonObject }
        expectThat(fields).isEqualTo(expectedFields)
        expectThat(fields.keys.toList()).containsExactly(expectedFields.keys.toList())
    }

    @Test
    fun `fields have the names, order and values of the reference`() = expectSameLine(
        event("kept").apply {
            keyValuePairs = listOf(
                KeyValuePair("event", 101),
                KeyValuePair("text", "42"),
                KeyValuePair("missing", null),
                KeyValuePair("flag", true),
                KeyValuePair("share", 0.5),
            )
        },
    )

    @Test
    fun `control characters, quotes and text outside ASCII stay readable in one line`() =
        expectSameLine(event("a\nb\tc\"d\\e\u0001 \u2028 ü 漢 \uD83D\uDE00"))

    @Test
    fun `an error is written with its causes`() =
        expectSameLine(event("failed", IllegalStateException("outer", IOException("inner"))))

    @Test
    fun `markers and context are written`() = expectSameLine(
        event("marked").apply {
            addMarker(MarkerFactory.getMarker("audit"))
            setMDCPropertyMap(mapOf("request" to "7"))
        },
    )
}
