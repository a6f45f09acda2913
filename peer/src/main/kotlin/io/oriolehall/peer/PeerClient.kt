package io.oriolehall.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.oriolehall.model.NetworkAddress
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/**
 * Sends requests to other instances over one connection per address. A connection is opened on first use and again
 * after it was lost.
 *
 * @param connectTimeoutMs connect timeout in milliseconds.
 */
class PeerClient(
    private val selector: SelectorManager,
    private val scope: CoroutineScope,
    private val traffic: PeerTraffic = PeerTraffic.None,
    private val connectTimeoutMs: Long = DEFAULT_CONNECT_TIMEOUT_MS,
) {
    private val connectors = ConcurrentHashMap<NetworkAddress, Connector>()

    /** Sends [request] and returns its single answer, or a failure. [timeoutMs] bounds each wait for a frame. */
    suspend fun <Q, A : Any> call(
        to: NetworkAddress,
        channel: PeerChannel<Q, A>,
        request: Q,
        timeoutMs: Long,
    ): Result<A, PeerFailure> {
        var answer: A? = null
        val outcome = stream(to, channel, request, timeoutMs) { answer = it }
        if (outcome.isErr) return Err(outcome.error)
        return answer?.let { Ok(it) } ?: Err(PeerFailure.Rejected("$to ended ${channel.name} without an answer"))
    }

    /**
     * Sends [request] and passes each answer item to [onItem] until the peer ends the exchange.
     *
     * @param idleTimeoutMs maximum wait for the next item in milliseconds.
     * @param firstItemTimeoutMs maximum wait for the first item in milliseconds.
     */
    suspend fun <Q, A> stream(
        to: NetworkAddress,
        channel: PeerChannel<Q, A>,
        request: Q,
        idleTimeoutMs: Long,
        firstItemTimeoutMs: Long = idleTimeoutMs,
        onItem: suspend (A) -> Unit,
    ): Result<Unit, PeerFailure> {
        val connection = connectors.computeIfAbsent(to) { Connector(it) }.connect()
            ?: return Err(PeerFailure.Unreachable("no connection to $to; check that it is running and reachable"))
        val payload = PeerCbor.encodeToByteArray(channel.requestSerializer, request)
        return connection.exchange(channel, payload, firstItemTimeoutMs, idleTimeoutMs, onItem)
    }

    /** Opens the connection to [address] and replaces it after a failure. */
    private inner class Connector(private val address: NetworkAddress) {
        private val connectMutex = Mutex()

        @Volatile
        private var current: Connection? = null

        suspend fun connect(): Connection? {
            current?.takeIf { it.open }?.let { return it }
            return connectMutex.withLock {
                current?.takeIf { it.open } ?: openConnection().also { current = it }
            }
        }

        private suspend fun openConnection(): Connection? {
            val socket = try {
                withTimeoutOrNull(connectTimeoutMs) { aSocket(selector).tcp().connect(address.host, address.port) }
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                null
            }
            return socket?.let { Connection(address, it).apply { startReceiving() } }
        }
    }

    private inner class Connection(private val address: NetworkAddress, private val socket: Socket) {
        private val input = socket.openReadChannel()
        private val output = socket.openWriteChannel()
        private val writeMutex = Mutex()
        private val lastExchangeId = AtomicLong()
        private val pendingExchanges = ConcurrentHashMap<Long, Channel<PeerFrame>>()

        @Volatile
        var open = true
            private set

        @Volatile
        private var lastReceivedNanos = System.nanoTime()

        fun startReceiving() {
            scope.launch {
                try {
                    while (true) {
                        val (frame, bytes) = input.readFrame()
                        lastReceivedNanos = System.nanoTime()
                        traffic.received(frame.channel, bytes)
                        dispatch(frame)
                    }
                } catch (e: CancellationException) {
                    throw e
                } catch (e: Exception) {
                    // Pending exchanges fail with PeerFailure.Lost when the connection is closed below.
                } finally {
                    closeConnection()
                }
            }
        }

        /** Fails an exchange whose buffer is full, so that a slow consumer does not block the other exchanges. */
        private fun dispatch(frame: PeerFrame) {
            val frames = pendingExchanges[frame.exchange] ?: return
            if (frames.trySend(frame).isFailure) frames.close()
        }

        suspend fun <Q, A> exchange(
            channel: PeerChannel<Q, A>,
            payload: ByteArray,
            firstItemTimeoutMs: Long,
            idleTimeoutMs: Long,
            onItem: suspend (A) -> Unit,
        ): Result<Unit, PeerFailure> {
            val exchangeId = lastExchangeId.incrementAndGet()
            val frames = Channel<PeerFrame>(MAX_BUFFERED_FRAMES)
            pendingExchanges[exchangeId] = frames
            var endedByPeer = false
            var timeoutMs = firstItemTimeoutMs
            try {
                val sent = open && send(PeerFrame(FrameKind.REQUEST, exchangeId, channel.name, payload = payload))
                if (!sent) return Err(lossFailure())
                while (true) {
                    val received = withTimeoutOrNull(timeoutMs) { frames.receiveCatching() }
                        ?: return Err(timeoutFailure(channel, timeoutMs))
                    timeoutMs = idleTimeoutMs
                    val frame = received.getOrNull() ?: return Err(lossFailure())
                    if (frame.kind == FrameKind.ITEM) {
                        val item = decode(channel, frame)
                        if (item.isErr) return Err(item.error)
                        onItem(item.value)
                        continue
                    }
                    endedByPeer = true
                    return frame.toOutcome()
                }
            } finally {
                pendingExchanges.remove(exchangeId)
                frames.cancel()
                if (!endedByPeer && open) {
                    withContext(NonCancellable) { send(PeerFrame(FrameKind.CANCEL, exchangeId, channel.name)) }
                }
            }
        }

        private fun <A> decode(channel: PeerChannel<*, A>, frame: PeerFrame): Result<A, PeerFailure> = try {
            Ok(PeerCbor.decodeFromByteArray(channel.answerSerializer, frame.payload))
        } catch (e: IllegalArgumentException) {
            val remedy = "check that both instances run compatible versions"
            Err(PeerFailure.Rejected("answer of $address to ${channel.name} cannot be read (${e.message}); $remedy"))
        }

        private fun PeerFrame.toOutcome(): Result<Unit, PeerFailure> =
            if (kind == FrameKind.DONE) Ok(Unit) else Err(PeerFailure.Rejected("$address: ${payload.decodeToString()}"))

        private suspend fun send(frame: PeerFrame): Boolean = try {
            val bytes = withTimeoutOrNull(WRITE_TIMEOUT_MS) { writeMutex.withLock { output.writeFrame(frame) } }
            if (bytes == null) closeConnection() else traffic.sent(frame.channel, bytes)
            bytes != null
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            closeConnection()
            false
        }

        /**
         * Also closes the connection if nothing was received for [MAX_SILENCE_NANOS]: it may be broken without an error
         * on the socket. The next exchange opens a new one.
         */
        private fun timeoutFailure(channel: PeerChannel<*, *>, timeoutMs: Long): PeerFailure {
            if (System.nanoTime() - lastReceivedNanos > MAX_SILENCE_NANOS) closeConnection()
            return PeerFailure.Lost("$address did not answer ${channel.name} in $timeoutMs ms")
        }

        private fun lossFailure() = PeerFailure.Lost(
            "connection to $address lost; the peer may have acted on the request",
        )

        private fun closeConnection() {
            open = false
            socket.close()
            pendingExchanges.values.forEach { it.close() }
        }
    }

    private companion object {
        const val DEFAULT_CONNECT_TIMEOUT_MS = 500L
        const val WRITE_TIMEOUT_MS = 1_000L

        /** Frames buffered for each exchange. */
        const val MAX_BUFFERED_FRAMES = 4_096
        val MAX_SILENCE_NANOS = TimeUnit.SECONDS.toNanos(5)
    }
}
