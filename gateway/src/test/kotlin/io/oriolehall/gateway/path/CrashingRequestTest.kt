package io.oriolehall.gateway.path

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.startsWith
import java.util.concurrent.atomic.AtomicInteger

class CrashingRequestTest {
    private val crashes = AtomicInteger()

    /** Crashes amid the second event of the answer to a request for `/events/bad`. */
    private class CrashingEndpoint(crashes: AtomicInteger) : AutoCloseable {
        val scripted: ScriptedEndpoint = ScriptedEndpoint {
            if (head.first().startsWith("POST /events/bad")) {
                write("HTTP/1.1 200 OK\r\nA: ${header("A")}\r\nS: 1\r\n$EVENT_STREAM\r\nid: 1\ndata: a\n\nid: 2\nda")
                Thread.sleep(EVENT_MS)
                crashes.incrementAndGet()
                crash()
            } else {
                respond(body = "id: 1\ndata: a\n\n", extra = "S: 1\r\n$EVENT_STREAM")
            }
        }

        private fun crash() = scripted.crash(DOWN_MS)

        override fun close() = scripted.close()
    }

    /** Guards against review case 4: the first event counted as proof that the request does not crash endpoints. */
    @Test
    fun `a request that crashes endpoints after its first event does not crash one after the other`() {
        val endpoints = List(ENDPOINTS) { CrashingEndpoint(crashes) }
        GatewayUnderTest(endpoints.map { it.scripted }).use { gateway ->
            while (gateway.request("/events/first").startsWith("HTTP/1.1 503")) Thread.sleep(POLL_MS)
            repeat(CRASHING_REQUESTS) {
                gateway.request("/events/bad", attempt = "bad$it")
                gateway.request("/events/sound$it", attempt = "sound$it")
                Thread.sleep(PAUSE_MS)
            }
            expectThat(crashes.get()).isLessThanOrEqualTo(MAX_CRASHES)
            expectThat(gateway.request("/events/bad", attempt = "last")).startsWith("HTTP/1.1 503")
            expectThat(gateway.request("/events/sound")).startsWith("HTTP/1.1 200")
        }
        endpoints.forEach(CrashingEndpoint::close)
    }

    private companion object {
        const val EVENT_STREAM = "Content-Type: text/event-stream\r\n"
        const val ENDPOINTS = 6
        const val DOWN_MS = 400L
        const val EVENT_MS = 20L
        const val CRASHING_REQUESTS = 12
        const val PAUSE_MS = 150L
        const val POLL_MS = 5L

        /** The operators allow three, and three more during the time that instances need to tell each other. */
        const val MAX_CRASHES = 6
    }
}
