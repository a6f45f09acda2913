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
 * Asks other instances. It keeps one connection per address, made on first use and made again after it broke.
 *
 * @param connectTimeoutMs bound on making a connection, milliseconds.
 */
class PeerClient(
    private val selector: SelectorManager,
    private val scope: CoroutineScope,
    private val traffic: PeerTraffic = PeerTraffic.None,
    private val connectTimeoutMs: Long = DEFAULT_CONNECT_TIMEOUT_MS,
) {
    private val links = ConcurrentHashMap<NetworkAddress, Link>()

    /** Sends [request] and returns its one answer, or why there is none within [timeoutMs] milliseconds. */
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
     * Sends [request] and hands each answer item to [onItem] until the peer ends the exchange.
     *
     * @param idleTimeoutMs longest wait for the next item, milliseconds.
     */
    suspend fun <Q, A> stream(
        to: NetworkAddress,
        channel: PeerChannel<Q, A>,
        request: Q,
        idleTimeoutMs: Long,
        onItem: suspend (A) -> Unit,
    ): Result<Unit, PeerFailure> {
        val connection = links.computeIfAbsent(to) { Link(it) }.connect()
            ?: return Err(PeerFailure.Unreachable("no connection to $to; is the instance up and the network whole?"))
        val payload = PeerCbor.encodeToByteArray(channel.requestSerializer, request)
        return connection.exchange(channel, payload, idleTimeoutMs, onItem)
    }

    private inner class Link(private val address: NetworkAddress) {
        private val connecting = Mutex()

        @Volatile
        private var current: Connection? = null

        suspend fun connect(): Connection? {
            current?.takeIf { it.open }?.let { return it }
            return connecting.withLock {
                current?.takeIf { it.open } ?: dial().also { current = it }
            }
        }

        private suspend fun dial(): Connection? {
            val socket = try {
                withTimeoutOrNull(connectTimeoutMs) { aSocket(selector).tcp().connect(address.host, address.port) }
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                null
            }
            return socket?.let { Connection(address, it).apply { startReading() } }
        }
    }

    private inner class Connection(private val address: NetworkAddress, private val socket: Socket) {
        private val input = socket.openReadChannel()
        private val output = socket.openWriteChannel()
        private val writing = Mutex()
        private val nextExchange = AtomicLong()
        private val waiting = ConcurrentHashMap<Long, Channel<PeerFrame>>()

        @Volatile
        var open = true
            private set

        @Volatile
        private var lastReceivedNanos = System.nanoTime()

        fun startReading() {
            scope.launch {
                try {
                    while (true) {
                        val (frame, bytes) = input.readFrame()
                        lastReceivedNanos = System.nanoTime()
                        traffic.received(frame.channel, bytes)
                        deliver(frame)
                    }
                } catch (e: CancellationException) {
                    throw e
                } catch (e: Exception) {
                    // The waiting exchanges are told below; the reason is the broken connection itself.
                } finally {
                    breakOff()
                }
            }
        }

        /** A consumer that has fallen too far behind loses its exchange, so that it cannot hold up the others. */
        private fun deliver(frame: PeerFrame) {
            val frames = waiting[frame.exchange] ?: return
            if (frames.trySend(frame).isFailure) frames.close()
        }

        suspend fun <Q, A> exchange(
            channel: PeerChannel<Q, A>,
            payload: ByteArray,
            idleTimeoutMs: Long,
            onItem: suspend (A) -> Unit,
        ): Result<Unit, PeerFailure> {
            val exchange = nextExchange.incrementAndGet()
            val frames = Channel<PeerFrame>(FRAMES_AHEAD)
            waiting[exchange] = frames
            var ended = false
            try {
                val sent = open && send(PeerFrame(FrameKind.REQUEST, exchange, channel.name, payload = payload))
                if (!sent) return Err(lost())
                while (true) {
                    val received = withTimeoutOrNull(idleTimeoutMs) { frames.receiveCatching() }
                        ?: return Err(timedOut(channel, idleTimeoutMs))
                    val frame = received.getOrNull() ?: return Err(lost())
                    if (frame.kind == FrameKind.ITEM) {
                        onItem(PeerCbor.decodeFromByteArray(channel.answerSerializer, frame.payload))
                        continue
                    }
                    ended = true
                    return frame.toOutcome()
                }
            } finally {
                waiting.remove(exchange)
                frames.cancel()
                if (!ended && open) {
                    withContext(NonCancellable) { send(PeerFrame(FrameKind.CANCEL, exchange, channel.name)) }
                }
            }
        }

        private fun PeerFrame.toOutcome(): Result<Unit, PeerFailure> =
            if (kind == FrameKind.DONE) Ok(Unit) else Err(PeerFailure.Rejected("$address: ${payload.decodeToString()}"))

        private suspend fun send(frame: PeerFrame): Boolean = try {
            val bytes = withTimeoutOrNull(WRITE_TIMEOUT_MS) { writing.withLock { output.writeFrame(frame) } }
            if (bytes == null) breakOff() else traffic.sent(frame.channel, bytes)
            bytes != null
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            breakOff()
            false
        }

        /** A connection that was silent for long may be broken without a sign: the next exchange makes a new one. */
        private fun timedOut(channel: PeerChannel<*, *>, timeoutMs: Long): PeerFailure {
            if (System.nanoTime() - lastReceivedNanos > SILENT_CONNECTION_NANOS) breakOff()
            return PeerFailure.Lost("$address did not answer ${channel.name} in $timeoutMs ms")
        }

        private fun lost() = PeerFailure.Lost("connection to $address broke; the peer may have acted on the request")

        private fun breakOff() {
            open = false
            socket.close()
            waiting.values.forEach { it.close() }
        }
    }

    private companion object {
        const val DEFAULT_CONNECT_TIMEOUT_MS = 500L
        const val WRITE_TIMEOUT_MS = 1_000L
        const val FRAMES_AHEAD = 4_096
        val SILENT_CONNECTION_NANOS = TimeUnit.SECONDS.toNanos(5)
    }
}
