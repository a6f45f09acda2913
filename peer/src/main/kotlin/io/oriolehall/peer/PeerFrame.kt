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
 * Frames between instances: a length of four bytes, then a PeerFrame in CBOR. Many exchanges share a connection; the
 * caller's number tells them apart.
 */

/** CBOR as instances speak it. Unknown fields are passed over, so that a newer instance can add some. */
internal val PeerCbor: Cbor = Cbor {
    ignoreUnknownKeys = true
    encodeDefaults = false
}

/** What a frame is. */
@Serializable
internal enum class FrameKind { REQUEST, ITEM, DONE, FAILED, CANCEL }

/** A frame. [payload] is the CBOR of the channel's type; on [FrameKind.FAILED] it is text. */
@Serializable
internal class PeerFrame(
    val kind: FrameKind,
    val exchange: Long,
    val channel: String = "",
    val version: Int = PEER_PROTOCOL_VERSION,
    @ByteString val payload: ByteArray = EMPTY_PAYLOAD,
)

private val EMPTY_PAYLOAD = ByteArray(0)

/** Version of the frames. An instance turns away a frame of another version. */
internal const val PEER_PROTOCOL_VERSION = 1

/** Largest frame, bytes; a longer one ends the connection. */
internal const val MAX_FRAME_BYTES = 2 * 1024 * 1024

/** Bytes of the length in front of a frame. */
internal const val FRAME_HEADER_BYTES = 4

/** A frame that cannot be read; the connection ends. */
internal class MalformedFrameException(message: String) : Exception(message)

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
        throw MalformedFrameException("not a frame: ${e.message}")
    }
    if (frame.version != PEER_PROTOCOL_VERSION) {
        throw MalformedFrameException("protocol version ${frame.version}; this instance speaks $PEER_PROTOCOL_VERSION")
    }
    return frame to length + FRAME_HEADER_BYTES
}

internal suspend fun ByteWriteChannel.writeFrame(frame: PeerFrame): Int {
    val bytes = PeerCbor.encodeToByteArray(PeerFrame.serializer(), frame)
    if (bytes.size > MAX_FRAME_BYTES) throw MalformedFrameException("frame of ${bytes.size} bytes is too long to send")
    writeInt(bytes.size)
    writeByteArray(bytes)
    flush()
    return bytes.size + FRAME_HEADER_BYTES
}
