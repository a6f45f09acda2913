package io.oriolehall.gateway.path

import io.oriolehall.dispatch.retries.ResponseTimes
import io.oriolehall.dispatch.retries.SecondAttemptLimits
import io.oriolehall.runtime.Event
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.doesNotContain
import strikt.assertions.endsWith
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.startsWith
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/**
 * Slow requests at two endpoints that answer at once until the response times are known, which are so few that none of
 * these requests gets a second attempt. The attempts at a request whose path ends in `slow` run the scripts of a test
 * in their order, whichever endpoint gets them.
 */
class SecondAttemptTest {
    private val limits = SecondAttemptLimits(requestShare = 0.2, workShare = 0.2)
    private val slowAttempts = AtomicInteger()

    private class Slow(val gateway: GatewayUnderTest, val endpoints: List<ScriptedEndpoint>)

    private fun waitUntil(condition: () -> Boolean) {
        val endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(8)
        while (!condition()) {
            check(System.nanoTime() < endNanos) { "condition not met within 8 s" }
            Thread.sleep(2)
        }
    }

    private fun withScripts(
        vararg scripts: ScriptedEndpoint.Exchange.() -> Unit,
        secondAttempts: SecondAttemptLimits? = limits,
        draining: Set<String> = emptySet(),
        warmUpPath: String = "/plain/x",
        warmUps: Int = ResponseTimes.MIN_OBSERVATIONS,
        warmUpMs: Long = 0,
        test: Slow.() -> Unit,
    ) {
        val endpoints = List(2) {
            ScriptedEndpoint {
                if ("slow " in head.first()) {
                    scripts[slowAttempts.getAndIncrement()]()
                } else {
                    Thread.sleep(warmUpMs)
                    respond()
                }
            }
        }
        GatewayUnderTest(
            endpoints,
            stopTimeoutMs = 4_000,
            draining = draining,
            objectiveMs = 20_000,
            secondAttempts = secondAttempts,
        ).use { gateway ->
            waitUntil { gateway.request(warmUpPath).startsWith("HTTP/1.1 200") }
            repeat(warmUps - 1) { expectThat(gateway.request(warmUpPath)).startsWith("HTTP/1.1 200") }
            Slow(gateway, endpoints).test()
        }
        endpoints.forEach(ScriptedEndpoint::close)
    }

    /** Waits until the gateway closes the connection. */
    private fun ScriptedEndpoint.Exchange.hang(closed: CountDownLatch = CountDownLatch(1)) {
        runCatching { socket.getInputStream().read() }
        closed.countDown()
    }

    private fun CountDownLatch.awaitSoon(): Boolean = await(2, TimeUnit.SECONDS)

    private fun awaitSecondAttempt() = waitUntil { slowAttempts.get() == 2 }

    /** Waits until the one second attempt has ended, and expects that it ended with [outcome]. */
    private fun Slow.awaitOutcome(outcome: String) {
        waitUntil { Event.SECOND_ATTEMPT_ENDED in gateway.events }
        expectThat(gateway.secondAttemptFields.map { it["outcome"] }).isEqualTo(listOf(outcome))
    }

    @Test
    fun `the second attempt at a slow request wins, and the connection of the first one is closed at once`() {
        val firstClosed = CountDownLatch(1)
        withScripts({ hang(firstClosed) }, { respond(body = "second") }) {
            val startNanos = System.nanoTime()
            expectThat(
                gateway.request("/plain/slow", deadlineMs = 20_000),
            ).startsWith("HTTP/1.1 200").endsWith("second")
            expectThat(firstClosed.awaitSoon()).isEqualTo(true)
            expectThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos)).isLessThan(4_000)
            awaitOutcome("won")
            expectThat(gateway.events.toList()).contains(Event.SECOND_ATTEMPT_ENDED, Event.SECOND_ATTEMPTS_ON)
            expectThat(gateway.metrics()) {
                contains("oriolehall_second_attempts_total{outcome=\"won\",service=\"s\"} 1.0")
                contains("oriolehall_second_attempts_total{outcome=\"refused_few_observations\",service=\"s\"} 9.0")
                contains("oriolehall_second_attempt_work_ms_total{service=\"s\"}")
                contains("oriolehall_attempts_total{outcome=\"cancelled\",service=\"s\"} 1.0")
            }
            // A cancelled attempt is no failure: both endpoints go on serving.
            repeat(20) { expectThat(gateway.request("/plain/x")).startsWith("HTTP/1.1 200") }
            expectThat(gateway.events.toList()).doesNotContain(Event.ATTEMPT_FAILED)
        }
    }

    @Test
    fun `the first attempt wins if it is answered first, and the second connection is closed`() {
        val secondStarted = CountDownLatch(1)
        val secondClosed = CountDownLatch(1)
        withScripts(
            {
                secondStarted.await()
                respond(body = "first")
            },
            {
                secondStarted.countDown()
                hang(secondClosed)
            },
        ) {
            expectThat(gateway.request("/plain/slow")).startsWith("HTTP/1.1 200").endsWith("first")
            expectThat(secondClosed.awaitSoon()).isEqualTo(true)
            awaitOutcome("lost")
        }
    }

    @Test
    fun `a first attempt that fails while the second one is in progress does not end the request`() {
        val failures = listOf<ScriptedEndpoint.Exchange.() -> Unit>(
            { reset() },
            { respond("500 Internal Server Error") },
            { respond("503 Service Unavailable", "", "N: 1\r\n") },
        )
        for (fail in failures) {
            val secondStarted = CountDownLatch(1)
            slowAttempts.set(0)
            withScripts(
                {
                    secondStarted.await()
                    fail()
                },
                {
                    secondStarted.countDown()
                    Thread.sleep(100)
                    respond(body = "second")
                },
            ) {
                expectThat(gateway.request("/plain/slow")).startsWith("HTTP/1.1 200").endsWith("second")
                expectThat(slowAttempts.get()).isEqualTo(2)
                awaitOutcome("won")
            }
        }
    }

    @Test
    fun `a second attempt that fails leaves the first one in progress`() {
        val secondFailed = CountDownLatch(1)
        withScripts(
            {
                secondFailed.await()
                Thread.sleep(50)
                respond(body = "first")
            },
            {
                reset()
                secondFailed.countDown()
            },
        ) {
            expectThat(gateway.request("/plain/slow")).startsWith("HTTP/1.1 200").endsWith("first")
            awaitOutcome("failed")
        }
    }

    @Test
    fun `when both attempts fail, the caller gets the failure, and the attempts of the route are used`() {
        val secondStarted = CountDownLatch(1)
        withScripts(
            {
                secondStarted.await()
                reset()
            },
            {
                secondStarted.countDown()
                reset()
            },
        ) {
            expectThat(gateway.request("/plain/slow")).startsWith("HTTP/1.1 502")
            expectThat(slowAttempts.get()).isEqualTo(2)
            awaitOutcome("failed")
        }
    }

    /** Guards against a decline by one endpoint that is taken as the fate of the attempt at the other one. */
    @Test
    fun `a request that one endpoint declined and the other one may have run is not said to have not run`() {
        val secondStarted = CountDownLatch(1)
        val firstDeclined = CountDownLatch(1)
        withScripts(
            {
                secondStarted.await()
                respond("503 Service Unavailable", "", "N: 1\r\n")
                firstDeclined.countDown()
            },
            {
                secondStarted.countDown()
                firstDeclined.await()
                Thread.sleep(50)
                reset()
            },
        ) {
            expectThat(gateway.request("/plain/slow")).startsWith("HTTP/1.1 502")
        }
    }

    @Test
    fun `both connections are closed when the caller leaves`() {
        val closed = CountDownLatch(2)
        withScripts({ hang(closed) }, { hang(closed) }) {
            val caller = gateway.open("/plain/slow", deadlineMs = 20_000)
            awaitSecondAttempt()
            caller.close()
            expectThat(closed.awaitSoon()).isEqualTo(true)
            awaitOutcome("ended")
        }
    }

    @Test
    fun `both connections are closed when the instance stops, and the caller is promised nothing`() {
        val closed = CountDownLatch(2)
        withScripts({ hang(closed) }, { hang(closed) }) {
            gateway.open("/plain/slow", deadlineMs = 20_000).use { caller ->
                awaitSecondAttempt()
                gateway.stopAndWait()
                expectThat(caller.getInputStream().readAllBytes().decodeToString()).startsWith("HTTP/1.1 502")
            }
            expectThat(closed.awaitSoon()).isEqualTo(true)
            awaitOutcome("ended")
        }
    }

    private val slowResponse: ScriptedEndpoint.Exchange.() -> Unit = {
        Thread.sleep(300)
        respond(body = "only")
    }

    @Test
    fun `a request that runs at most once gets no second attempt`() {
        withScripts(slowResponse, warmUpPath = "/once/x") {
            expectThat(gateway.request("/once/slow")).endsWith("only")
            expectThat(slowAttempts.get()).isEqualTo(1)
        }
    }

    @Test
    fun `a stream gets no second attempt`() {
        withScripts({
            Thread.sleep(300)
            respond(body = "id: 1\ndata: a\n\n", extra = "S: 1\r\nContent-Type: text/event-stream\r\n")
        }, warmUpPath = "/events/x") {
            expectThat(gateway.request("/events/slow")).contains("data: a")
            expectThat(slowAttempts.get()).isEqualTo(1)
        }
    }

    /** Guards against the events of two runs in one response, where an endpoint streams on a plain route. */
    @Test
    fun `an attempt whose response turns out to be a stream wins at its head`() {
        val secondStarted = CountDownLatch(1)
        val secondClosed = CountDownLatch(1)
        var closedBeforeEnd = false
        val head = "S: 1\r\nContent-Type: text/event-stream\r\n"
        withScripts(
            {
                secondStarted.await()
                write("HTTP/1.1 200 OK\r\nA: ${header("A")}\r\n${head}Content-Length: 30\r\n\r\nid: 1\ndata: a\n\n")
                closedBeforeEnd = secondClosed.awaitSoon()
                write("id: 2\ndata: b\n\n")
            },
            {
                secondStarted.countDown()
                hang(secondClosed)
            },
        ) {
            val answer = gateway.request("/plain/slow")
            expectThat(Regex("data: (\\w+)").findAll(answer).map { it.groupValues[1] }.toList())
                .isEqualTo(listOf("a", "b"))
            expectThat(closedBeforeEnd).isEqualTo(true)
            waitUntil { "outcome=\"on_time\",route=\"/plain/\"} 10.0" in gateway.metrics() }
            awaitOutcome("lost")
        }
    }

    @Test
    fun `no second attempt is sent to an endpoint that drains`() {
        withScripts(slowResponse, draining = setOf("e1")) {
            expectThat(gateway.request("/plain/slow")).endsWith("only")
            expectThat(endpoints[1].requests).isEqualTo(0)
            expectThat(gateway.metrics()).contains("outcome=\"refused_no_endpoint\"")
        }
    }

    /** Guards against a second endpoint that is chosen from the state at the start of the request. */
    @Test
    fun `no second attempt is sent to an endpoint that begins to drain while the first attempt is in progress`() {
        lateinit var gatewayUnderTest: GatewayUnderTest
        withScripts(
            {
                gatewayUnderTest.drainAll()
                Thread.sleep(4 * WARM_UP_MS)
                respond(body = "only")
            },
            warmUpMs = WARM_UP_MS,
        ) {
            gatewayUnderTest = gateway
            expectThat(gateway.request("/plain/slow")).endsWith("only")
            expectThat(slowAttempts.get()).isEqualTo(1)
            expectThat(gateway.metrics()).contains("outcome=\"refused_no_endpoint\"")
        }
    }

    @Test
    fun `no second attempt is sent with too few observations or without limits`() {
        withScripts(slowResponse, warmUps = ResponseTimes.MIN_OBSERVATIONS - 1) {
            expectThat(gateway.request("/plain/slow")).endsWith("only")
            expectThat(slowAttempts.get()).isEqualTo(1)
        }
        slowAttempts.set(0)
        withScripts(slowResponse, secondAttempts = null) {
            expectThat(gateway.request("/plain/slow")).endsWith("only")
            expectThat(slowAttempts.get()).isEqualTo(1)
            expectThat("oriolehall_second" in gateway.metrics()).isEqualTo(false)
        }
    }

    private companion object {
        /** Longer than the publication of a change takes on a busy machine. */
        const val WARM_UP_MS = 300L
    }
}
