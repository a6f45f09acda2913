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
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap

/**
 * Handles requests of other instances. Handlers are registered per channel before [start]. Each request runs in its own
 * coroutine, which is cancelled when the connection closes unless the handler moves its work to another scope.
 */
class PeerServer(
    private val selector: SelectorManager,
    private val scope: CoroutineScope,
    private val log: EventLog,
    private val traffic: PeerTraffic = PeerTraffic.None,
) {
    private val handlers = ConcurrentHashMap<String, Handler<*, *>>()
    private var socket: ServerSocket? = null

    /** Registers [handle] for [channel]; the items that it emits are sent in order. */
    fun <Q, A> serve(channel: PeerChannel<Q, A>, handle: suspend (Q, emit: suspend (A) -> Unit) -> Unit) {
        handlers[channel.name] = Handler(channel, singleItem = false, handle)
    }

    /** Registers [handle] for [channel]; the value that it returns is the only answer item. */
    fun <Q, A> answer(channel: PeerChannel<Q, A>, handle: suspend (Q) -> A) {
        handlers[channel.name] = Handler(channel, singleItem = true) { request, emit -> emit(handle(request)) }
    }

    /** Listens on [address], where port 0 selects a free port, and returns the bound address. */
    suspend fun start(address: NetworkAddress): NetworkAddress {
        val server = aSocket(selector).tcp().bind(address.host, address.port)
        socket = server
        scope.launch { acceptLoop(server) }
        return NetworkAddress(address.host, (server.localAddress as InetSocketAddress).port)
    }

    /** Stops accepting connections. Open connections run until they are closed or the scope is cancelled. */
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

    /** A handler; with [singleItem], its only item is sent together with the end of the exchange. */
    private class Handler<Q, A>(
        private val channel: PeerChannel<Q, A>,
        val singleItem: Boolean,
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
        private val writeMutex = Mutex()
        private val runningRequests = ConcurrentHashMap<Long, Job>()

        suspend fun run() = coroutineScope {
            try {
                while (isActive) {
                    val (frame, bytes) = input.readFrame()
                    traffic.received(frame.channel, bytes)
                    when (frame.kind) {
                        FrameKind.REQUEST -> startRequest(frame)
                        FrameKind.CANCEL -> runningRequests.remove(frame.exchange)?.cancel()
                        else -> throw MalformedFrameException("unexpected ${frame.kind} frame from a client")
                    }
                }
            } finally {
                runningRequests.values.forEach(Job::cancel)
            }
        }

        private fun CoroutineScope.startRequest(frame: PeerFrame) {
            val job = launch(start = CoroutineStart.LAZY) { handleRequest(frame) }
            runningRequests[frame.exchange] = job
            job.invokeOnCompletion { runningRequests.remove(frame.exchange, job) }
            job.start()
        }

        private suspend fun handleRequest(frame: PeerFrame) {
            val handler = handlers[frame.channel]
            if (handler == null) {
                sendReply(
                    frame,
                    FrameKind.FAILED,
                    "no channel ${frame.channel}; upgrade this instance".encodeToByteArray(),
                )
                return
            }
            try {
                handler.run(frame.payload) { sendReply(frame, FrameKind.ITEM, it, flush = !handler.singleItem) }
                sendReply(frame, FrameKind.DONE)
            } catch (e: CancellationException) {
                throw e
            } catch (e: IOException) {
                throw e
            } catch (e: IllegalArgumentException) {
                log.write(Event.PEER_FRAME_REJECTED, "channel" to frame.channel, "error" to e.message)
                sendReply(frame, FrameKind.FAILED, "request not understood: ${e.message}".encodeToByteArray())
            } catch (e: Exception) {
                // Only this request fails: the other requests of the connection belong to other callers.
                log.write(Event.PEER_HANDLER_FAILED, "channel" to frame.channel, "error" to e.stackTraceToString())
                sendReply(frame, FrameKind.FAILED, "request failed: $e".encodeToByteArray())
            }
        }

        private suspend fun sendReply(
            request: PeerFrame,
            kind: FrameKind,
            payload: ByteArray = ByteArray(0),
            flush: Boolean = true,
        ) {
            val frame = PeerFrame(kind, request.exchange, request.channel, payload = payload)
            val bytes = writeMutex.withLock { output.writeFrame(frame, flush) }
            traffic.sent(request.channel, bytes)
        }
    }
}
