package io.oriolehall.peer

import kotlinx.serialization.KSerializer

/**
 * Turns messages of one type into the bytes that go between instances, and back, without a connection. Tools use it to
 * measure messages as they are sent.
 */
class PeerCodec<T>(private val channel: String, private val serializer: KSerializer<T>) {
    /** The frame of [message] as it is written to a connection, without its length. */
    fun encode(message: T): ByteArray {
        val payload = PeerCbor.encodeToByteArray(serializer, message)
        val frame = PeerFrame(FrameKind.REQUEST, TYPICAL_EXCHANGE, channel, payload = payload)
        return PeerCbor.encodeToByteArray(PeerFrame.serializer(), frame)
    }

    /** The message in [bytes]. */
    fun decode(bytes: ByteArray): T {
        val frame = PeerCbor.decodeFromByteArray(PeerFrame.serializer(), bytes)
        return PeerCbor.decodeFromByteArray(serializer, frame.payload)
    }

    companion object {
        /** Bytes that a connection adds to a frame: its length. */
        const val HEADER_BYTES = FRAME_HEADER_BYTES

        private const val TYPICAL_EXCHANGE = 100_000L
    }
}
