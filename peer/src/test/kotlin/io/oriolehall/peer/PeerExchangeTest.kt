package io.oriolehall.peer

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.writeByteArray
import io.oriolehall.model.NetworkAddress
import io.oriolehall.runtime.EventLog
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo

class PeerExchangeTest {
    @Serializable
    data class Number(val value: Int)

    private val scope = CoroutineScope(Dispatchers.Default + SupervisorJob())
    private val selector = SelectorManager(Dispatchers.IO)
    private val doubling = PeerChannel.of<Number, Number>("doubling")
    private val counting = PeerChannel.of<Number, Number>("counting")

    @AfterEach
    fun close() {
        scope.cancel()
        selector.close()
    }

    private suspend fun startServer(): NetworkAddress {
        val server = PeerServer(selector, scope, EventLog { _, _ -> })
        server.answer(doubling) { Number(it.value * 2) }
        server.serve(counting) { request, emit -> repeat(request.value) { emit(Number(it)) } }
        return server.start(NetworkAddress("127.0.0.1", 0))
    }

    @Test
    fun `a call returns the answer to its own request`() = runBlocking<Unit> {
        val address = startServer()
        val client = PeerClient(selector, scope)
        for (n in 1..20) {
            expectThat(client.call(address, doubling, Number(n), timeoutMs = 2_000).value).isEqualTo(Number(n * 2))
        }
    }

    @Test
    fun `a stream delivers every item in order`() = runBlocking<Unit> {
        val address = startServer()
        val items = mutableListOf<Int>()
        PeerClient(selector, scope).stream(address, counting, Number(100), 2_000) { items += it.value }
        expectThat(items).isEqualTo((0 until 100).toMutableList())
    }

    @Test
    fun `a call to a closed port is unreachable and not lost`() = runBlocking<Unit> {
        val client = PeerClient(selector, scope)
        val outcome = client.call(NetworkAddress("127.0.0.1", 1), doubling, Number(1), timeoutMs = 500)
        expectThat(outcome.error).isA<PeerFailure.Unreachable>()
    }

    @Test
    fun `garbage ends its own connection and nothing else`() = runBlocking<Unit> {
        val address = startServer()
        aSocket(selector).tcp().connect(address.host, address.port).use { socket ->
            val output = socket.openWriteChannel(autoFlush = true)
            output.writeByteArray("GET / HTTP/1.1\r\n\r\n".encodeToByteArray())
            val end = withTimeout(2_000) { socket.openReadChannel().readAvailable(ByteArray(1)) }
            expectThat(end).isEqualTo(-1)
        }
        val outcome = PeerClient(selector, scope).call(address, doubling, Number(4), timeoutMs = 2_000)
        expectThat(outcome.value).isEqualTo(Number(8))
    }

    @Test
    fun `an unexpected error ends its own request and no other of the connection`() = runBlocking<Unit> {
        val failing = PeerChannel.of<Number, Number>("failing")
        val waiting = PeerChannel.of<Number, Number>("waiting")
        val failed = CompletableDeferred<Unit>()
        val server = PeerServer(selector, scope, EventLog { _, _ -> })
        server.answer(failing) { error("fault") }
        server.answer(waiting) { failed.await().let { _ -> Number(1) } }
        val address = server.start(NetworkAddress("127.0.0.1", 0))
        val client = PeerClient(selector, scope)
        val other = async { client.call(address, waiting, Number(0), timeoutMs = 2_000) }
        expectThat(client.call(address, failing, Number(0), timeoutMs = 2_000).error).isA<PeerFailure.Rejected>()
        failed.complete(Unit)
        expectThat(other.await().value).isEqualTo(Number(1))
    }

    @Test
    fun `an answer that cannot be read is a failure of the call`() = runBlocking<Unit> {
        val address = startServer()
        val client = PeerClient(selector, scope)
        val other = PeerChannel("doubling", Number.serializer(), ListSerializer(Number.serializer()))
        expectThat(client.call(address, other, Number(1), timeoutMs = 2_000).error).isA<PeerFailure.Rejected>()
    }

    @Test
    fun `a channel that the peer does not know is rejected`() = runBlocking<Unit> {
        val address = startServer()
        val unknown = PeerChannel.of<Number, Number>("unknown")
        val outcome = PeerClient(selector, scope).call(address, unknown, Number(1), timeoutMs = 2_000)
        expectThat(outcome.error).isA<PeerFailure.Rejected>()
    }
}
