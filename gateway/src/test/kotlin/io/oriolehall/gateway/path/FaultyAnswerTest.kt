package io.oriolehall.gateway.path

import io.oriolehall.runtime.Event
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.startsWith
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicInteger

/** Answers of faulty endpoints, and what callers must not be told because of them. */
class FaultyAnswerTest {
    private fun withGateway(vararg endpoints: ScriptedEndpoint, test: GatewayUnderTest.() -> Unit) {
        GatewayUnderTest(endpoints.toList()).use { gateway ->
            gateway.awaitReady()
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

    private fun GatewayUnderTest.readStream(delivered: CountDownLatch): String = open("/events/x").use { caller ->
        val answer = StringBuilder()
        while ("data: a\n\n" !in answer) answer.append(caller.getInputStream().read().toChar())
        delivered.countDown()
        answer.append(runCatching { caller.getInputStream().readAllBytes().decodeToString() }.getOrDefault(""))
        answer.toString()
    }

    @Test
    fun `an error that another endpoint answers does not enter a stream that has begun`() {
        val answers = listOf("409 Conflict", "404 Not Found", "200 OK", "500 Internal Server Error", "302 Found")
        for (status in answers) {
            val delivered = CountDownLatch(1)
            val endpoints = List(2) {
                ScriptedEndpoint {
                    if (header("L") != null) {
                        respond(status, "error text", "S: 1\r\n")
                    } else {
                        write("HTTP/1.1 200 OK\r\nA: r1\r\nS: 1\r\n$EVENT_STREAM\r\nid: 1\ndata: a\n\n")
                        delivered.await()
                        reset()
                    }
                }
            }
            withGateway(*endpoints.toTypedArray()) {
                val answer = readStream(delivered)
                expectThat(answer.endsWith("0\r\n\r\n")).describedAs("complete after $status").isFalse()
                expectThat("error text" in answer).isFalse()
                expectThat(Event.HTTP_HANDLER_FAILED in events).describedAs("error after $status").isFalse()
            }
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

    @Test
    fun `a stream that ends with its connection before its first event is not delivered as whole`() {
        val empty = ScriptedEndpoint {
            write("HTTP/1.1 200 OK\r\nA: r1\r\nS: 1\r\n$EVENT_STREAM\r\n")
            socket.close()
        }
        val sound = ScriptedEndpoint { respond(body = "id: 1\ndata: a\n\n", extra = "S: 1\r\n$EVENT_STREAM") }
        withGateway(empty, sound) {
            repeat(4) { expectThat(request("/events/x$it")).contains("data: a") }
        }
    }

    /** Guards against a faulty endpoint that sends bytes which are no answer until the caller closes the connection. */
    @Test
    fun `bytes without end in place of a head end the attempt`() {
        val head = "HTTP/1.1 200 OK\r\nA: r1\r\nS: 1\r\n"
        val floods = mapOf(
            "junk" to "x",
            "header lines" to "H: v\r\n",
            "blank lines" to "\r\n",
            "interim answers" to "HTTP/1.1 100 Continue\r\n\r\n",
        )
        for ((kind, text) in floods) {
            val endpoint = ScriptedEndpoint {
                if (kind == "header lines") write(head)
                while (true) write(text.repeat(FLOOD_REPEATS))
            }
            withGateway(endpoint) {
                val startMs = System.currentTimeMillis()
                expectThat(request("/once/x")).describedAs(kind).startsWith("HTTP/1.1 502")
                expectThat(System.currentTimeMillis() - startMs).describedAs("ms for $kind").isLessThan(MAX_FLOOD_MS)
            }
        }
    }

    private companion object {
        const val FLOOD_REPEATS = 1_000

        /** The deadline of the requests is 5 s. */
        const val MAX_FLOOD_MS = 2_500L

        const val EVENT_STREAM = "Content-Type: text/event-stream\r\n"
    }
}
