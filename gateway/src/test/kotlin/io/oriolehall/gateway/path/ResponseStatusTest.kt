package io.oriolehall.gateway.path

import io.oriolehall.runtime.Event
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.util.concurrent.atomic.AtomicInteger

/** Guards against a status that is no HTTP status and that reaches the caller, or says that a request has not run. */
class ResponseStatusTest {
    private fun withGateway(vararg endpoints: ScriptedEndpoint, test: GatewayUnderTest.() -> Unit) {
        GatewayUnderTest(endpoints.toList()).use { gateway ->
            gateway.awaitReady()
            gateway.test()
        }
        endpoints.forEach(ScriptedEndpoint::close)
    }

    private fun ScriptedEndpoint.Exchange.answer(status: String, headers: String) =
        write("HTTP/1.1 $status\r\nA: ${header("A")}\r\nS: 1\r\n${headers}Content-Length: 4\r\n\r\nbody")

    /** Statuses of the responses of one endpoint to requests to [path]; MALFORMED are the statuses that it sends. */
    private fun statuses(path: String, headers: String): Map<String, String> {
        val status = AtomicInteger()
        val endpoint = ScriptedEndpoint { answer(MALFORMED[status.get()], headers) }
        val received = mutableMapOf<String, String>()
        withGateway(endpoint) {
            MALFORMED.forEachIndexed { index, text ->
                status.set(index)
                received[text] = request(path).substringBefore("\r\n").take(STATUS_END)
            }
            expectThat(events).contains(Event.RESPONSE_MALFORMED)
            expectThat(metrics()).contains("signal=\"malformed_response\"} ${MALFORMED.size}")
        }
        return received
    }

    private val badGateway = MALFORMED.associateWith { "HTTP/1.1 502" }

    @Test
    fun `a malformed status is not delivered`() {
        expectThat(statuses("/once/x", "")).isEqualTo(badGateway)
        expectThat(statuses("/events/x", "Content-Type: text/event-stream\r\n")).isEqualTo(badGateway)
    }

    @Test
    fun `a response with a malformed status never says that its request has not run`() {
        expectThat(statuses("/once/x", "N: 1\r\n")).isEqualTo(badGateway)
    }

    @Test
    fun `a request that may be repeated is sent again, and one that may not runs once`() {
        for (text in MALFORMED) {
            val runs = AtomicInteger()
            val endpoints = List(2) {
                ScriptedEndpoint { if (runs.incrementAndGet() == 1) answer(text, "") else answer("200 OK", "") }
            }
            withGateway(*endpoints.toTypedArray()) {
                val repeated = request("/plain/x").substringBefore(" OK")
                expectThat(repeated to runs.get()).describedAs(text).isEqualTo("HTTP/1.1 200" to 2)
                runs.set(0)
                request("/once/x")
                expectThat(runs.get()).describedAs(text).isEqualTo(1)
            }
        }
    }

    @Test
    fun `any status from 200 to 599 is delivered, also without a reason`() {
        val valid = listOf("200", "200 ", " 200 OK", "299 OK", "302 Found", "404", "499 X", "599 X")
        val status = AtomicInteger()
        val endpoint = ScriptedEndpoint { answer(valid[status.get()], "") }
        withGateway(endpoint) {
            valid.forEachIndexed { index, text ->
                status.set(index)
                val line = request("/once/x").substringBefore("\r\n")
                expectThat(line.take(STATUS_END)).isEqualTo("HTTP/1.1 ${text.trim().take(3)}")
            }
        }
    }

    private companion object {
        const val STATUS_END = 12
        val MALFORMED = listOf(
            "000 X", "099 X", "600 X", "999 X", "1000 X", "0200 OK", "2000 OK", "20x OK", "+200 OK", "-200 OK",
            "20 OK", "2 OK", "200OK", "\u00b2\u00b2\u00b2 OK", "OK", "",
        )
    }
}
