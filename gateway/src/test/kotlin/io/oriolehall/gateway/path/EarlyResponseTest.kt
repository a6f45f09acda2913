package io.oriolehall.gateway.path

import io.oriolehall.dispatch.config.CallerLimits
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.startsWith
import java.util.concurrent.atomic.AtomicInteger

/**
 * Responses that begin before the request was read. Guards against a part of a response that the caller receives as a
 * complete one, and against requests that wait behind an upload that the endpoint does not read.
 */
class EarlyResponseTest {
    private enum class Framing(val header: String) {
        NONE(""),
        CHUNKS("Transfer-Encoding: chunked\r\n"),
        LENGTH("Content-Length: 1000\r\n"),
        ;

        fun part(text: String) = if (this == CHUNKS) "${text.length.toString(radix = 16)}\r\n$text\r\n" else text
    }

    private enum class Ending {
        IN_HEAD,
        BEFORE_PART,
        IN_PART,
        WITH_PART,
        AFTER_PART,
        LATE,
        ;

        fun write(exchange: ScriptedEndpoint.Exchange, head: String, part: String) = exchange.run {
            when (this@Ending) {
                IN_HEAD -> write(head.dropLast(2))
                BEFORE_PART -> write(head)
                IN_PART -> write(head + part.dropLast(part.length / 2))
                WITH_PART, LATE -> write(head + part)
                AFTER_PART -> write(head).also { Thread.sleep(PAUSE_MS) }.also { write(part) }
            }
            if (this@Ending != WITH_PART) Thread.sleep(if (this@Ending == LATE) LATE_MS else PAUSE_MS)
        }
    }

    private enum class Upload(val body: List<String>) {
        SHORT(listOf("hi")),
        LONG(listOf("x".repeat(LONG_BYTES))),
        LONG_IN_PARTS(List(LONG_PARTS) { "x".repeat(LONG_BYTES / LONG_PARTS) }),
    }

    private enum class Close {
        RESET,
        END_OF_OUTPUT,
        ;

        fun apply(exchange: ScriptedEndpoint.Exchange) {
            if (this == RESET) return exchange.reset()
            exchange.socket.shutdownOutput()
            Thread.sleep(OPEN_AFTER_END_MS)
        }
    }

    private class Case(val framing: Framing, val ending: Ending, val close: Close)

    private fun withGateway(endpoint: ScriptedEndpoint, test: GatewayUnderTest.() -> Unit) = endpoint.use {
        GatewayUnderTest(listOf(endpoint), limits = CallerLimits(maxBodyBytes = LONG_BYTES)).use { gateway ->
            gateway.awaitReady()
            gateway.test()
        }
    }

    private fun isComplete(response: String) =
        response.startsWith("HTTP/1.1 200") && ("chunked" !in response || response.endsWith("0\r\n\r\n"))

    /** Returns the cases in which the caller received a complete response. */
    private fun completed(path: String, type: String, closes: List<Close>, uploads: List<Upload>): List<String> {
        val part = if (type.isEmpty()) "part of a response" else "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
        var case = Case(Framing.NONE, Ending.LATE, Close.RESET)
        val endpoint = ScriptedEndpoint(readsBody = false) {
            val head = "HTTP/1.1 200 OK\r\nA: ${header("A")}\r\nS: 1\r\n$type${case.framing.header}\r\n"
            case.ending.write(this, head, case.framing.part(part))
            case.close.apply(this)
        }
        val completed = mutableListOf<String>()
        withGateway(endpoint) {
            for (framing in Framing.entries) {
                for (ending in Ending.entries) {
                    for (close in closes) {
                        for (upload in uploads) {
                            case = Case(framing, ending, close)
                            val response = request(path, body = upload.body)
                            if (isComplete(response)) completed += "$framing $ending $close $upload"
                        }
                    }
                }
            }
        }
        return completed
    }

    @Test
    fun `a plain response whose connection is reset is not complete`() {
        expectThat(completed("/once/x", "", listOf(Close.RESET), Upload.entries)).isEmpty()
    }

    @Test
    fun `a stream whose connection is reset is not complete`() {
        expectThat(completed("/events/x", EVENT_STREAM, listOf(Close.RESET), Upload.entries)).isEmpty()
    }

    @Test
    fun `a response that ends before the request was written is not complete`() {
        val long = listOf(Upload.LONG, Upload.LONG_IN_PARTS)
        expectThat(completed("/once/x", "", listOf(Close.END_OF_OUTPUT), long)).isEmpty()
        expectThat(completed("/events/x", EVENT_STREAM, listOf(Close.END_OF_OUTPUT), long)).isEmpty()
    }

    @Test
    fun `a response without a length that ends after the request was written is complete`() {
        val completed = completed("/once/x", "", listOf(Close.END_OF_OUTPUT), listOf(Upload.SHORT))
        expectThat(completed).isEqualTo(
            listOf("BEFORE_PART", "IN_PART", "WITH_PART", "AFTER_PART", "LATE").map { "NONE $it END_OF_OUTPUT SHORT" },
        )
    }

    @Test
    fun `a complete response before the upload is delivered, and the upload is still written`() {
        val readBytes = AtomicInteger()
        val endpoint = ScriptedEndpoint(readsBody = false) {
            respond(body = "early", extra = "S: 1\r\nKeep-Alive: timeout=30\r\n")
            Thread.sleep(PAUSE_MS)
            readBytes.set(readBody())
        }
        withGateway(endpoint) {
            expectThat(request("/once/x", body = Upload.LONG.body)).startsWith("HTTP/1.1 200")
            val endMs = System.currentTimeMillis() + MAX_UPLOAD_MS
            while (readBytes.get() == 0 && System.currentTimeMillis() < endMs) Thread.sleep(POLL_MS)
            expectThat(readBytes.get()).isEqualTo(LONG_BYTES)
        }
    }

    /** The connection was used again while the upload filled it, so that the next request waited until its deadline. */
    @Test
    fun `a request does not wait behind an upload that the endpoint does not read`() {
        val endpoint = ScriptedEndpoint(readsBody = false) {
            respond(body = "early")
            if (head.any { it.endsWith(": $LONG_BYTES") }) Thread.sleep(OPEN_AFTER_END_MS * 10) else readBody()
        }
        withGateway(endpoint) {
            expectThat(request("/once/x", body = Upload.LONG.body)).startsWith("HTTP/1.1 200")
            expectThat(request("/once/x", deadlineMs = 3_000)).startsWith("HTTP/1.1 200")
        }
    }

    private companion object {
        const val EVENT_STREAM = "Content-Type: text/event-stream\r\n"

        /** More than the socket buffers of both ends hold. */
        const val LONG_BYTES = 16_000_000
        const val LONG_PARTS = 100
        const val POLL_MS = 5L

        /** Long enough for the gateway to read what was written before. */
        const val PAUSE_MS = 20L
        const val LATE_MS = 100L
        const val OPEN_AFTER_END_MS = 500L
        const val MAX_UPLOAD_MS = 20_000L
    }
}
