package io.oriolehall.standins.faultproxy

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.aSocket
import io.oriolehall.model.NetworkAddress
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Accepts the connections of one link and relays them under the fault in force. */
internal class LinkRelay(
    @Volatile var link: Link,
    private val selector: SelectorManager,
    private val scope: CoroutineScope,
) {
    private val fault = MutableStateFlow(Fault(mode = FaultMode.PASS))
    private val connections = ConcurrentHashMap.newKeySet<RelayedConnection>()
    private val accepted = AtomicLong()
    private var address = parse(link.listen)
    private var server: ServerSocket? = null

    suspend fun start() {
        val bound = aSocket(selector).tcp().bind(address.host, address.port) { reuseAddress = true }
        address = NetworkAddress(address.host, (bound.localAddress as InetSocketAddress).port)
        server = bound
        scope.launch { acceptLoop(bound) }
    }

    fun retarget(target: String) {
        parse(target)
        link = link.copy(target = target)
    }

    /** Puts [next] in force, on open connections too. */
    suspend fun apply(next: Fault) {
        if (fault.value == next) return
        fault.value = next
        if (next.mode == FaultMode.RESET ||
            next.mode == FaultMode.RESET_OPEN
        ) {
            connections.forEach(RelayedConnection::close)
        }
        if (next.mode == FaultMode.REFUSE) {
            stopListening()
            awaitRefused()
        } else if (server == null) {
            start()
        }
    }

    fun close() {
        stopListening()
        connections.forEach(RelayedConnection::close)
    }

    fun status() = LinkStatus(
        link = link,
        address = address.toString(),
        mode = fault.value.mode,
        open = connections.size,
        endedBySource = connections.count(RelayedConnection::endedBySource),
        accepted = accepted.get(),
    )

    private fun stopListening() {
        server?.close()
        server = null
    }

    /** A closed listener takes connections until the selector has let go of it. */
    private suspend fun awaitRefused() {
        withTimeoutOrNull(REFUSE_TIMEOUT_MS) {
            while (takesConnections()) delay(REFUSE_POLL_MS)
        }
    }

    private suspend fun takesConnections(): Boolean = try {
        aSocket(selector).tcp().connect(address.host, address.port).close()
        true
    } catch (e: IOException) {
        false
    }

    private suspend fun acceptLoop(server: ServerSocket) {
        while (true) {
            val source = try {
                server.accept()
            } catch (e: IOException) {
                return
            }
            accepted.incrementAndGet()
            if (fault.value.mode == FaultMode.RESET) {
                source.close()
                continue
            }
            val connection = RelayedConnection(source, selector, fault)
            connections += connection
            scope.launch {
                try {
                    connection.relay(parse(link.target))
                } finally {
                    connections -= connection
                }
            }
        }
    }

    private companion object {
        const val REFUSE_TIMEOUT_MS = 2_000L
        const val REFUSE_POLL_MS = 5L
        const val MAX_PORT = 65_535

        fun parse(text: String): NetworkAddress {
            val port = text.substringAfterLast(':').toIntOrNull()
            require(port != null && port in 0..MAX_PORT) { "$text is not host:port; write for example 127.0.0.1:0" }
            return NetworkAddress(text.substringBeforeLast(':'), port)
        }
    }
}
