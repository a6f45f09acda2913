package io.oriolehall.gateway.path

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.startsWith
import java.util.concurrent.atomic.AtomicInteger

class CrashingPromptTest {
    private val crashes = AtomicInteger()

    /** Crashes when it begins to answer a request with the part `bad`. */
    private class CrashingEndpoint(crashes: AtomicInteger) : AutoCloseable {
        private val endpoint: ScriptedEndpoint = ScriptedEndpoint {
            if ("bad:" in header("P").orEmpty()) {
                crashes.incrementAndGet()
                write(EVENT_STREAM_HEAD)
                crash()
            } else {
                respond(body = "id: 1\ndata: a\n\n", extra = "S: 1\r\nContent-Type: text/event-stream\r\n")
            }
        }
        val scripted: ScriptedEndpoint get() = endpoint

        private fun crash() = endpoint.crash(DOWN_MS)

        override fun close() = endpoint.close()
    }

    private fun GatewayUnderTest.send(number: Int, parts: String): String {
        val headers = "P: $parts,own$number:10\r\nX: $number\r\n"
        return request("/events/x?$number", headers = headers)
    }

    @Test
    fun `requests with a part that ends endpoints do not end one endpoint after the other`() {
        val endpoints = List(ENDPOINTS) { CrashingEndpoint(crashes) }
        GatewayUnderTest(endpoints.map { it.scripted }).use { gateway ->
            repeat(SOUND_FIRST) { gateway.send(it, "shared:800,sound:100") }
            repeat(CRASHING_REQUESTS) {
                gateway.send(it, "shared:800,bad:100")
                Thread.sleep(PAUSE_MS)
            }
            expectThat(crashes.get()).isLessThanOrEqualTo(MAX_CRASHES)
            expectThat(gateway.send(number = 0, parts = "shared:800,bad:100")).startsWith("HTTP/1.1 503")
            val sound = (0 until SOUND_AFTER).map { gateway.send(it, "shared:800,sound:100").substringBefore("\r\n") }
            expectThat(sound.distinct()).isEqualTo(listOf("HTTP/1.1 200 OK"))
        }
        endpoints.forEach(CrashingEndpoint::close)
    }

    private companion object {
        const val EVENT_STREAM_HEAD = "HTTP/1.1 200 OK\r\nA: r1\r\nS: 1\r\nContent-Type: text/event-stream\r\n" +
            "Transfer-Encoding: chunked\r\n\r\n"
        const val ENDPOINTS = 6
        const val DOWN_MS = 400L
        const val SOUND_FIRST = 4
        const val SOUND_AFTER = 6
        const val CRASHING_REQUESTS = 12
        const val PAUSE_MS = 300L

        /** The operators allow five, and three more during the time that instances need to tell each other. */
        const val MAX_CRASHES = 5
    }
}
