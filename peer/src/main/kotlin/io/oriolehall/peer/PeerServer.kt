package io.oriolehall.peer

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteWriteChannel
import io.oriolehall.model.NetworkAddress
import io.oriolehall.runtime.Event
import io.oriolehall.runtime.EventLog
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap

/**
 * Answers other instances. Handlers are registered per channel before [start]; each request runs in a coroutine of its
 * own, which ends when the connection does, unless the handler moves its work to another scope.
 */
class PeerServer(
    private val selector: SelectorManager,
    private val scope: CoroutineScope,
    private val log: EventLog,
    private val traffic: PeerTraffic = PeerTraffic.None,
) {
    private val handlers = ConcurrentHashMap<String, Handler<*, *>>()
    private var socket: ServerSocket? = null

    /** Answers each request on [channel] with the items that [handle] emits, in order. */
    fun <Q, A> serve(channel: PeerChannel<Q, A>, handle: suspend (Q, emit: suspend (A) -> Unit) -> Unit) {
        handlers[channel.name] = Handler(channel, handle)
    }

    /** Answers each request on [channel] with the one item that [handle] returns. */
    fun <Q, A> answer(channel: PeerChannel<Q, A>, handle: suspend (Q) -> A) {
        serve(channel) { request, emit -> emit(handle(request)) }
    }

    /** Listens at [address] (port 0 takes a free one) and returns the address in use. */
    suspend fun start(address: NetworkAddress): NetworkAddress {
        val server = aSocket(selector).tcp().bind(address.host, address.port)
        socket = server
        scope.launch { acceptLoop(server) }
        return NetworkAddress(address.host, (server.localAddress as InetSocketAddress).port)
    }

    /** Stops listening and ends all connections. */
    fun close() {
        socket?.close()
    }

    private suspend fun acceptLoop(server: ServerSocket) {
        while (scope.isActive) {
            val connection = try {
                server.accept()
            } catch (e: IOException) {
                return
            }
            scope.launch { serveConnection(connection) }
        }
    }

    private suspend fun serveConnection(connection: Socket) {
        val from = try {
            connection.remoteAddress
        } catch (e: IOException) {
            connection.close()
            return
        }
        try {
            connection.use { Session(it).run() }
        } catch (e: CancellationException) {
            throw e
        } catch (e: MalformedFrameException) {
            log.write(Event.PEER_FRAME_REJECTED, "from" to from, "error" to e.message)
        } catch (e: Exception) {
            log.write(Event.PEER_CONNECTION_LOST, "from" to from, "error" to e.toString())
        }
    }

    private class Handler<Q, A>(
        private val channel: PeerChannel<Q, A>,
        private val handle: suspend (Q, emit: suspend (A) -> Unit) -> Unit,
    ) {
        suspend fun run(payload: ByteArray, emit: suspend (ByteArray) -> Unit) {
            val request = PeerCbor.decodeFromByteArray(channel.requestSerializer, payload)
            handle(request) { emit(PeerCbor.encodeToByteArray(channel.answerSerializer, it)) }
        }
    }

    private inner class Session(connection: Socket) {
        private val input = connection.openReadChannel()
        private val output: ByteWriteChannel = connection.openWriteChannel()
        private val writing = Mutex()
        private val running = ConcurrentHashMap<Long, Job>()

        suspend fun run() = coroutineScope {
            try {
                while (isActive) {
                    val (frame, bytes) = input.readFrame()
                    traffic.received(frame.channel, bytes)
                    when (frame.kind) {
                        FrameKind.REQUEST -> begin(frame)
                        FrameKind.CANCEL -> running.remove(frame.exchange)?.cancel()
                        else -> throw MalformedFrameException("unexpected ${frame.kind} frame from a client")
                    }
                }
            } finally {
                running.values.forEach(Job::cancel)
            }
        }

        private fun CoroutineScope.begin(frame: PeerFrame) {
            running[frame.exchange] = launch {
                answer(frame)
                running.remove(frame.exchange)
            }
        }

        private suspend fun answer(frame: PeerFrame) {
            val handler = handlers[frame.channel]
            if (handler == null) {
                send(frame, FrameKind.FAILED, "no channel ${frame.channel}; upgrade this instance".encodeToByteArray())
                return
            }
            try {
                handler.run(frame.payload) { send(frame, FrameKind.ITEM, it) }
                send(frame, FrameKind.DONE)
            } catch (e: CancellationException) {
                throw e
            } catch (e: IllegalArgumentException) {
                log.write(Event.PEER_FRAME_REJECTED, "channel" to frame.channel, "error" to e.message)
                send(frame, FrameKind.FAILED, "request not understood: ${e.message}".encodeToByteArray())
            }
        }

        private suspend fun send(request: PeerFrame, kind: FrameKind, payload: ByteArray = ByteArray(0)) {
            val frame = PeerFrame(kind, request.exchange, request.channel, payload = payload)
            val bytes = writing.withLock { output.writeFrame(frame) }
            traffic.sent(request.channel, bytes)
        }
    }
}
