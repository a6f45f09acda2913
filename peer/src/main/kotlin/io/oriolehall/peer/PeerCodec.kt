package io.oriolehall.peer

import kotlinx.serialization.KSerializer

/**
 * Encodes and decodes messages of one type in the format used between instances, without a connection. Tools use it to
 * measure message sizes.
 */
class PeerCodec<T>(private val channel: String, private val serializer: KSerializer<T>) {
    /** Encodes [message] as a frame, without the length header. */
    fun encode(message: T): ByteArray {
        val payload = PeerCbor.encodeToByteArray(serializer, message)
        val frame = PeerFrame(FrameKind.REQUEST, SAMPLE_EXCHANGE_NUMBER, channel, payload = payload)
        return PeerCbor.encodeToByteArray(PeerFrame.serializer(), frame)
    }

    /** Decodes the message in the frame [bytes]. */
    fun decode(bytes: ByteArray): T {
        val frame = PeerCbor.decodeFromByteArray(PeerFrame.serializer(), bytes)
        return PeerCbor.decodeFromByteArray(serializer, frame.payload)
    }

    companion object {
        /** Size in bytes of the length header that precedes a frame on a connection. */
        const val HEADER_BYTES = FRAME_HEADER_BYTES

        /** Sample number; its encoded size is that of an exchange on a long-lived connection. */
        private const val SAMPLE_EXCHANGE_NUMBER = 100_000L
    }
}
