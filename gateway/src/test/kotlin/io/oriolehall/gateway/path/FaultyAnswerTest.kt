package io.oriolehall.gateway.path

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.startsWith
import java.util.concurrent.atomic.AtomicInteger

/** Answers of faulty endpoints, and what callers must not be told because of them. */
class FaultyAnswerTest {
    private fun withGateway(vararg endpoints: ScriptedEndpoint, test: GatewayUnderTest.() -> Unit) {
        GatewayUnderTest(endpoints.toList()).use { gateway ->
            while (!gateway.request("/none/").startsWith("HTTP/1.1 404")) Thread.sleep(POLL_MS)
            gateway.test()
        }
        endpoints.forEach(ScriptedEndpoint::close)
    }

    private fun refusalOf(attempt: String) = "HTTP/1.1 503 Full\r\nA: $attempt\r\nN: 1\r\nContent-Length: 0\r\n\r\n"

    @Test
    fun `an earlier refusal that is written once more does not say that the next request has not run`() {
        val runs = AtomicInteger()
        val endpoints = List(2) {
            ScriptedEndpoint {
                if (header("A") != "r1") runs.incrementAndGet()
                write(refusalOf("r1"))
            }
        }
        withGateway(*endpoints.toTypedArray()) {
            expectThat(request("/once/x", attempt = "r1")).startsWith("HTTP/1.1 503")
            expectThat(request("/once/x", attempt = "r2")).startsWith("HTTP/1.1 502")
            expectThat(runs.get()).isEqualTo(1)
        }
    }

    @Test
    fun `an answer whose head stops anywhere is not delivered`() {
        val head = "HTTP/1.1 200 OK\r\nA: r1\r\nS: 1\r\nContent-Length: 12\r\n\r\n"
        val length = AtomicInteger()
        val endpoints = List(2) { index ->
            ScriptedEndpoint {
                write(head.take(length.get()))
                if (index == 0) reset() else socket.close()
            }
        }
        withGateway(*endpoints.toTypedArray()) {
            for (cut in 1 until head.length) {
                length.set(cut)
                val answer = request("/once/x")
                expectThat(answer).describedAs("head cut after $cut bytes").startsWith("HTTP/1.1 502")
            }
        }
    }

    private companion object {
        const val POLL_MS = 5L
    }
}
