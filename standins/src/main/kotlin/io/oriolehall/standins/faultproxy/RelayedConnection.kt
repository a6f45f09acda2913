package io.oriolehall.standins.faultproxy

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.writeFully
import io.oriolehall.model.NetworkAddress
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import java.io.IOException
import java.util.concurrent.TimeUnit

/**
 * One connection through the proxy. Bytes that arrive while their direction is cut are kept, as TCP keeps them to send
 * again, and pass once the cut ends. A connection opened during a cut reaches the target only if its source still
 * holds it open when the cut ends. The end of a connection passes like bytes do.
 */
internal class RelayedConnection(
    private val source: Socket,
    private val selector: SelectorManager,
    private val fault: StateFlow<Fault>,
) {
    private val fromSource = ByteChannel(autoFlush = true)

    @Volatile private var target: Socket? = null

    /** True once the source has closed the connection, even if the target has not been told. */
    val endedBySource: Boolean get() = fromSource.isClosedForWrite

    /** Relays both directions until either side ends. */
    suspend fun relay(address: NetworkAddress) {
        source.attachForReading(fromSource)
        try {
            fault.first { passesForward(it) && passesBack(it) }
            if (endedBySource) return
            val connected = aSocket(selector).tcp().connect(address.host, address.port) { noDelay = true }
            target = connected
            val fromTarget = ByteChannel(autoFlush = true)
            connected.attachForReading(fromTarget)
            relayBoth(fromSource, connected.openWriteChannel(), fromTarget, source.openWriteChannel())
        } catch (e: IOException) {
            return
        } finally {
            close()
        }
    }

    /** Closes both sides. */
    fun close() {
        source.close()
        target?.close()
    }

    private suspend fun relayBoth(
        fromSource: ByteReadChannel,
        toTarget: ByteWriteChannel,
        fromTarget: ByteReadChannel,
        toSource: ByteWriteChannel,
    ) = coroutineScope {
        val forward = launch { relayOne(fromSource, toTarget, ::passesForward) }
        val back = launch { relayOne(fromTarget, toSource, ::passesBack) }
        forward.invokeOnCompletion { close() }
        back.invokeOnCompletion { close() }
    }

    private suspend fun relayOne(from: ByteReadChannel, to: ByteWriteChannel, passes: (Fault) -> Boolean) =
        coroutineScope {
            val pieces = Channel<Piece>(MAX_PIECES)
            launch { readPieces(from, pieces) }
            try {
                for (piece in pieces) {
                    awaitTurn(piece, passes)
                    to.writeFully(piece.bytes)
                    to.flush()
                }
                fault.first(passes)
                to.flushAndClose()
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                from.cancel(e)
            }
        }

    private suspend fun readPieces(from: ByteReadChannel, pieces: Channel<Piece>) {
        val buffer = ByteArray(PIECE_BYTES)
        try {
            while (true) {
                val count = from.readAvailable(buffer)
                if (count < 0) break
                if (count > 0) pieces.send(Piece(buffer.copyOf(count), nowMs()))
            }
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            // A broken connection ends its direction like an orderly end.
        } finally {
            pieces.close()
        }
    }

    private suspend fun awaitTurn(piece: Piece, passes: (Fault) -> Boolean) {
        val current = fault.first(passes)
        if (current.mode == FaultMode.DELAY) delay(piece.readAtMs + current.ms - nowMs())
        fault.first(passes)
    }

    private class Piece(val bytes: ByteArray, val readAtMs: Long)

    private companion object {
        const val PIECE_BYTES = 16 * 1024
        const val MAX_PIECES = 64

        fun nowMs(): Long = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())

        fun passesForward(fault: Fault) = fault.mode != FaultMode.CUT && fault.mode != FaultMode.CUT_FORWARD

        fun passesBack(fault: Fault) = fault.mode != FaultMode.CUT && fault.mode != FaultMode.CUT_BACK
    }
}
