package io.oriolehall.gateway.path

import io.oriolehall.runtime.Event
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import strikt.assertions.startsWith
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Endpoints that say in their answers that they leave or want a pause; the published state says ready throughout. */
class LeavingAndPauseTest {
    private fun withGateway(
        vararg endpoints: ScriptedEndpoint,
        storeReachable: () -> Boolean = { true },
        test: GatewayUnderTest.() -> Unit,
    ) {
        GatewayUnderTest(endpoints.toList(), storeReachable = storeReachable).use { gateway ->
            gateway.awaitReady()
            gateway.test()
        }
        endpoints.forEach(ScriptedEndpoint::close)
    }

    private fun ScriptedEndpoint.Exchange.respondStream(extra: String = "") =
        respond(body = "id: 1\ndata: a\n\n", extra = "S: 1\r\nContent-Type: text/event-stream\r\n$extra")

    private fun elapsedMs(sinceNanos: Long) = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNanos)

    @Test
    fun `an endpoint that says in any answer that it leaves gets no request any more`() {
        val answers = listOf<ScriptedEndpoint.Exchange.() -> Unit>(
            { respond(extra = "S: 1\r\n$LEAVING") },
            { respondStream(LEAVING) },
            { respond("500 Internal Server Error", extra = "S: 1\r\n$LEAVING") },
            { respond("503 Service Unavailable", extra = "N: 1\r\n$LEAVING") },
        )
        for (answer in answers) {
            val leaving = ScriptedEndpoint(answer)
            val staying = ScriptedEndpoint { respondStream() }
            withGateway(leaving, staying) {
                var sent = 0
                while (leaving.requests == 0) request("/events/x${sent++}")
                repeat(12) { expectThat(request("/events/y$it")).startsWith("HTTP/1.1 200") }
                expectThat(leaving.requests).isEqualTo(1)
                expectThat(events.toList()).contains(Event.ENDPOINT_LEAVING)
            }
        }
    }

    @Test
    fun `an endpoint that leaves gets no request while the platform is cut off, though its entry says ready`() {
        var platformUp = true
        val leaving = ScriptedEndpoint { respond(extra = "S: 1\r\n$LEAVING") }
        withGateway(leaving, storeReachable = { platformUp }) {
            platformUp = false
            expectThat(request("/once/x")).startsWith("HTTP/1.1 200")
            Thread.sleep(PUBLISHED_STATE_WAIT_MS)
            platformUp = true
            expectThat(request("/once/x")).startsWith("HTTP/1.1 503")
            Thread.sleep(PUBLISHED_STATE_WAIT_MS)
            expectThat(request("/once/x")).startsWith("HTTP/1.1 503")
            expectThat(leaving.requests).isEqualTo(1)
        }
    }

    private fun refusing(retryAfter: String, everyRequest: Boolean = false) = ScriptedEndpoint {
        if (number == 1 || everyRequest) {
            respond("503 Service Unavailable", "", "N: 1\r\nRetry-After: $retryAfter\r\n")
        } else {
            respond()
        }
    }

    @Test
    fun `an endpoint that wants a pause gets no request until it ends`() {
        for (seconds in listOf("0.6", "1")) {
            val pausing = refusing(seconds)
            withGateway(pausing) {
                val startNanos = System.nanoTime()
                expectThat(request("/once/x")).startsWith("HTTP/1.1 503")
                while (pausing.requests == 1) request("/once/x")
                expectThat(elapsedMs(startNanos)).isGreaterThan((seconds.toDouble() * 1_000).toLong() - 1)
            }
        }
    }

    @Test
    fun `a pause of a day is kept, and the others take over`() {
        val pausing = refusing("86400", everyRequest = true)
        val staying = ScriptedEndpoint { respond() }
        withGateway(pausing, staying) {
            repeat(40) { expectThat(request("/once/x")).startsWith("HTTP/1.1 200") }
            expectThat(pausing.requests).isIn(0..1)
        }
    }

    @Test
    fun `when all endpoints pause, a request is refused at once and told when the first is back`() {
        val endpoints = arrayOf(refusing("20", everyRequest = true), refusing("3", everyRequest = true))
        withGateway(*endpoints) {
            request("/once/x")
            val startNanos = System.nanoTime()
            val answer = request("/once/x", deadlineMs = 10_000)
            expectThat(elapsedMs(startNanos)).isLessThan(500)
            expectThat(answer).startsWith("HTTP/1.1 503")
            val retryAfter = answer.substringAfter("Retry-After: ").substringBefore("\r\n").toDouble()
            expectThat(retryAfter).isIn(2.0..3.3)
            expectThat("Retry-After" in request("/once/x", deadlineMs = 1_000)).isEqualTo(false)
            expectThat(endpoints.sumOf { it.requests }).isEqualTo(2)
        }
    }

    @Test
    fun `requests under way when the pause begins may end, and no other one is sent`() {
        val released = CountDownLatch(1)
        val endpoint = ScriptedEndpoint {
            if (number <= 3) {
                released.await()
                respond()
            } else {
                respond("503 Service Unavailable", "", "N: 1\r\nRetry-After: 5\r\n")
            }
        }
        withGateway(endpoint) {
            val underWay = List(3) { open("/once/x$it") }
            while (endpoint.requests < 3) Thread.sleep(POLL_MS)
            repeat(10) { expectThat(request("/once/y$it")).startsWith("HTTP/1.1 503") }
            released.countDown()
            for (socket in underWay) {
                expectThat(socket.getInputStream().readAllBytes().decodeToString()).startsWith("HTTP/1.1 200")
            }
            expectThat(endpoint.requests).isEqualTo(4)
        }
    }

    @Test
    fun `a pause that cannot be read changes nothing and is logged`() {
        for (text in listOf("soon", "-3", "1e9999", "NaN", "9".repeat(300))) {
            val odd = refusing(text)
            withGateway(odd) {
                expectThat(request("/once/x")).startsWith("HTTP/1.1 503")
                expectThat(request("/once/x")).startsWith("HTTP/1.1 200")
                expectThat(events.toList()).contains(Event.PAUSE_UNREADABLE)
            }
        }
    }

    private companion object {
        const val LEAVING = "G: 1\r\n"
        const val POLL_MS = 5L
        const val PUBLISHED_STATE_WAIT_MS = 700L
    }
}
