@file:OptIn(ExperimentalSerializationApi::class)

package io.oriolehall.gateway.feed

import io.oriolehall.dispatch.config.ServingConfig
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder
import java.util.zip.DataFormatException
import java.util.zip.Deflater
import java.util.zip.Inflater

/**
 * Encodes a configuration as one block of compressed CBOR for the messages between instances. Routes resemble each
 * other, so a configuration of 1,600 routes shrinks from 340 kB to a small part of that. Uncompressed, it delays the
 * probes that share its connection by seconds when a reader sends it to its followers over a slow link, and other
 * instances then take the reader for dead.
 *
 * The block of the last configuration is kept, because an instance sends the same one to many others.
 */
internal object CompressedConfigSerializer : KSerializer<ServingConfig> {
    /** @property size length of [block] before the compression, bytes. */
    @Serializable
    private class Compressed(val size: Int, @ByteString val block: ByteArray)

    private class Encoded(val config: ServingConfig, val compressed: Compressed)

    private val cbor = Cbor {
        ignoreUnknownKeys = true
        encodeDefaults = false
    }

    @Volatile
    private var lastEncoded: Encoded? = null

    override val descriptor: SerialDescriptor = Compressed.serializer().descriptor

    override fun serialize(encoder: Encoder, value: ServingConfig) {
        val last = lastEncoded?.takeIf { it.config === value }
        val encoded = last ?: Encoded(value, compress(value)).also { lastEncoded = it }
        encoder.encodeSerializableValue(Compressed.serializer(), encoded.compressed)
    }

    override fun deserialize(decoder: Decoder): ServingConfig {
        val compressed = decoder.decodeSerializableValue(Compressed.serializer())
        if (compressed.size !in 1..MAX_BYTES) {
            throw SerializationException("configuration of ${compressed.size} bytes is outside 1..$MAX_BYTES")
        }
        return cbor.decodeFromByteArray(ServingConfig.serializer(), decompress(compressed))
    }

    private fun compress(config: ServingConfig): Compressed {
        val bytes = cbor.encodeToByteArray(ServingConfig.serializer(), config)
        val deflater = Deflater(Deflater.BEST_SPEED)
        try {
            deflater.setInput(bytes)
            deflater.finish()
            val buffer = ByteArray(bytes.size + MAX_GROWTH_BYTES)
            val length = deflater.deflate(buffer)
            check(deflater.finished()) { "a configuration of ${bytes.size} bytes grew by its compression" }
            return Compressed(bytes.size, buffer.copyOf(length))
        } finally {
            deflater.end()
        }
    }

    private fun decompress(compressed: Compressed): ByteArray {
        val inflater = Inflater()
        try {
            inflater.setInput(compressed.block)
            val bytes = ByteArray(compressed.size)
            val length = inflater.inflate(bytes)
            if (length != bytes.size) throw SerializationException("compressed configuration is truncated")
            return bytes
        } catch (e: DataFormatException) {
            throw SerializationException("compressed configuration cannot be read: ${e.message}", e)
        } finally {
            inflater.end()
        }
    }

    /** Limits the memory for a configuration that another instance sends; the store's items hold at most 1 MB. */
    private const val MAX_BYTES = 8_388_608

    /** Data that cannot be compressed grows by a few bytes for each 16 kB. */
    private const val MAX_GROWTH_BYTES = 4_096
}
