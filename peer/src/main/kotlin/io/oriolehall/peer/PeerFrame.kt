@file:OptIn(ExperimentalSerializationApi::class)

package io.oriolehall.peer

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.Cbor

/*
 * Framing between instances: a four-byte length followed by a PeerFrame in CBOR. Exchanges are multiplexed over one
 * connection and identified by a number that the client assigns.
 */

/** CBOR format used between instances. Unknown fields are ignored, so that newer instances can add fields. */
internal val PeerCbor: Cbor = Cbor {
    ignoreUnknownKeys = true
    encodeDefaults = false
}

/** Type of a frame. */
@Serializable
internal enum class FrameKind { REQUEST, ITEM, DONE, FAILED, CANCEL }

/**
 * A frame.
 *
 * @property exchange number of the exchange, unique within its connection.
 * @property payload CBOR of the channel's request or answer type; UTF-8 text for [FrameKind.FAILED].
 */
@Serializable
internal class PeerFrame(
    val kind: FrameKind,
    val exchange: Long,
    val channel: String = "",
    val version: Int = PEER_PROTOCOL_VERSION,
    @ByteString val payload: ByteArray = EMPTY_PAYLOAD,
)

private val EMPTY_PAYLOAD = ByteArray(0)

/** Version of the frame format. A frame of another version closes the connection. */
internal const val PEER_PROTOCOL_VERSION = 1

/** Maximum size of an encoded frame in bytes, without its header. A longer frame closes the connection. */
internal const val MAX_FRAME_BYTES = 2 * 1024 * 1024

/** Size in bytes of the length that precedes each frame. */
internal const val FRAME_HEADER_BYTES = 4

/** A frame that cannot be decoded or sent. The connection is closed. */
internal class MalformedFrameException(message: String) : Exception(message)

/** Reads the next frame and returns it with the bytes that it took on the connection, header included. */
internal suspend fun ByteReadChannel.readFrame(): Pair<PeerFrame, Int> {
    val length = readInt()
    if (length !in
        1..MAX_FRAME_BYTES
    ) {
        throw MalformedFrameException("frame length $length is outside 1..$MAX_FRAME_BYTES")
    }
    val bytes = readByteArray(length)
    val frame = try {
        PeerCbor.decodeFromByteArray(PeerFrame.serializer(), bytes)
    } catch (e: IllegalArgumentException) {
        throw MalformedFrameException("cannot decode frame: ${e.message}")
    }
    if (frame.version != PEER_PROTOCOL_VERSION) {
        throw MalformedFrameException("protocol version ${frame.version}; this instance uses $PEER_PROTOCOL_VERSION")
    }
    return frame to length + FRAME_HEADER_BYTES
}

/** Writes [frame] and returns the number of bytes written, header included. Without [flush], it goes with the next. */
internal suspend fun ByteWriteChannel.writeFrame(frame: PeerFrame, flush: Boolean = true): Int {
    val bytes = PeerCbor.encodeToByteArray(PeerFrame.serializer(), frame)
    if (bytes.size > MAX_FRAME_BYTES) throw MalformedFrameException("frame of ${bytes.size} bytes exceeds the limit")
    writeInt(bytes.size)
    writeByteArray(bytes)
    if (flush) flush()
    return bytes.size + FRAME_HEADER_BYTES
}
