package io.oriolehall.gateway.http

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.oriolehall.gateway.TrafficLoop
import io.oriolehall.model.NetworkAddress
import io.oriolehall.runtime.EventLog
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.startsWith
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicInteger

class CallerListenerTest {
    private val loop = TrafficLoop(EventLog { _, _ -> })
    private val served = AtomicInteger()
    private val listener = CallerListener(loop, { request, responder ->
        served.incrementAndGet()
        responder.respond(
            200,
            DefaultHttpHeaders(),
            "${TrafficLoop.nowMs() - request.receivedAtMs}".encodeToByteArray(),
        )
    })
    private val address = listener.start(NetworkAddress("127.0.0.1", 0))

    @AfterEach
    fun end() = loop.close()

    private fun connect() = Socket(address.host, address.port)

    private fun Socket.sendRequest() = getOutputStream()
        .write("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n".encodeToByteArray())

    private fun Socket.answer() = getInputStream().readAllBytes().decodeToString()

    /** Runs [action] while the event loop is busy with something else. */
    private fun whileBusy(action: () -> Unit) {
        val started = CountDownLatch(1)
        val busy = CountDownLatch(1)
        loop.eventLoop.execute {
            started.countDown()
            busy.await()
        }
        started.await()
        action()
        busy.countDown()
    }

    /** Runs until the loop has handled what was pending. */
    private fun settle() = runBlocking { repeat(3) { withContext(loop.dispatcher) { delay(20) } } }

    @Test
    fun `a request whose caller left before it was read is not served`() {
        connect().use { it.sendRequest() }
        settle()
        served.set(0)
        whileBusy { connect().use { it.sendRequest() } }
        settle()
        expectThat(served.get()).isEqualTo(0)
    }

    @Test
    fun `a stop leaves a new connection the time to send its first request`() {
        connect().use { caller ->
            settle()
            runBlocking { withContext(loop.dispatcher) { listener.registry.closeIdleConnections() } }
            caller.sendRequest()
            expectThat(caller.answer()).startsWith("HTTP/1.1 200")
        }
    }

    @Test
    fun `a stop closes a connection that stays unused`() {
        connect().use {
            Thread.sleep(600)
            runBlocking { withContext(loop.dispatcher) { listener.registry.closeIdleConnections() } }
            expectThat(it.getInputStream().read()).isEqualTo(-1)
        }
    }

    @Test
    fun `the age of the last poll tells how far the loop is behind`() = runBlocking<Unit> {
        withContext(loop.dispatcher) {
            Thread.sleep(120)
            expectThat(loop.polls.ageMs).isGreaterThanOrEqualTo(110)
            delay(1)
            expectThat(loop.polls.ageMs).isLessThan(50)
        }
    }
}
