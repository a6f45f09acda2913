package io.oriolehall.gateway.path

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.startsWith
import java.net.Socket
import java.util.concurrent.CountDownLatch

/** What callers are told about requests that are in progress when the time for a graceful stop runs out. */
class ShutdownTest {
    private fun withGateway(endpoint: ScriptedEndpoint, test: GatewayUnderTest.() -> Unit) {
        GatewayUnderTest(listOf(endpoint), stopTimeoutMs = STOP_TIMEOUT_MS).use { gateway ->
            gateway.awaitReady()
            gateway.test()
        }
        endpoint.close()
    }

    private fun ScriptedEndpoint.awaitRequest() {
        while (requests == 0) Thread.sleep(POLL_MS)
    }

    private fun Socket.readAnswer(): String = getInputStream().readAllBytes().decodeToString()

    /** Guards against requests that were passed on and then cut without an answer at the end of a planned stop. */
    @Test
    fun `a request that may have run gets an answer that promises nothing when the stop ends`() {
        val silent = CountDownLatch(1)
        val endpoint = ScriptedEndpoint { silent.await() }
        withGateway(endpoint) {
            open("/once/x", deadlineMs = 20_000).use { caller ->
                endpoint.awaitRequest()
                stopAndWait()
                expectThat(caller.readAnswer()).startsWith("HTTP/1.1 502")
            }
        }
        silent.countDown()
    }

    @Test
    fun `a stream that is not complete when the stop ends does not look complete`() {
        val silent = CountDownLatch(1)
        val endpoint = ScriptedEndpoint {
            write("HTTP/1.1 200 OK\r\nA: r1\r\nS: 1\r\nContent-Type: text/event-stream\r\n\r\ndata: a\n\n")
            silent.await()
        }
        withGateway(endpoint) {
            open("/events/x", deadlineMs = 20_000).use { caller ->
                endpoint.awaitRequest()
                stopAndWait()
                val answer = caller.readAnswer()
                expectThat(answer).contains("data: a")
                expectThat(answer.endsWith("0\r\n\r\n")).isFalse()
            }
        }
        silent.countDown()
    }

    /** Guards against a request that is read behind another one on its connection and dropped with the connection. */
    @Test
    fun `requests that have been read behind another one are answered during the stop`() {
        val finish = CountDownLatch(1)
        val endpoint = ScriptedEndpoint {
            finish.await()
            respond()
        }
        withGateway(endpoint) {
            Socket(callerAddress.host, callerAddress.port).use { caller ->
                caller.soTimeout = GatewayUnderTest.READ_TIMEOUT_MS
                val requests = listOf("r1", "r2").joinToString("") {
                    "POST /once/x HTTP/1.1\r\nHost: h\r\nA: $it\r\nD: 2000\r\nContent-Length: 0\r\n\r\n"
                }
                caller.getOutputStream().write(requests.encodeToByteArray())
                endpoint.awaitRequest()
                stopInBackground()
                Thread.sleep(SIGNAL_MS)
                finish.countDown()
                expectThat(Regex("HTTP/1.1 200").findAll(caller.readAnswer()).count()).isEqualTo(2)
            }
        }
    }

    private companion object {
        const val STOP_TIMEOUT_MS = 4_000L
        const val SIGNAL_MS = 100L
        const val POLL_MS = 5L
    }
}
