package io.oriolehall.standins.compute

import kotlinx.serialization.Serializable
import java.security.MessageDigest

/*
 * What stages hand to each other. Each carries a digest of the text that it was computed from, so that a result handed
 * to another request is noticed by the next stage.
 */

/** Output of an encoder: [vector] is computed from [text]. */
@Serializable
data class EncodedText(val vector: String, val text: String) {
    companion object {
        /** The encoding of [text]. */
        fun of(text: String) = EncodedText(sha256Hex(text).take(VECTOR_DIGITS), text)

        private const val VECTOR_DIGITS = 32
    }
}

/** Output of a retriever or reranker: documents, best first, for the text that [encoded] carries. */
@Serializable
data class RankedDocuments(val encoded: EncodedText, val documents: List<RankedDocument>)

/** A document with its [score]; [text] is set by the reranker. */
@Serializable
data class RankedDocument(val id: String, val score: Int, val text: String = "")

/** An order or a stock look-up at a plain service. */
@Serializable
data class ServiceOperation(
    val operation: String,
    val item: String = "",
    val quantity: Int = 0,
    val customer: String = "",
)

/** Answer of a plain service. [confirmation] is computed from the operation. */
@Serializable
data class ServiceAnswer(val operation: ServiceOperation, val confirmation: String, val inStock: Int)

/** Lower-case hex SHA-256 of [text] as UTF-8. */
fun sha256Hex(text: String): String =
    MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray()).joinToString("") { "%02x".format(it) }
