package io.oriolehall.entry.stages

import java.security.MessageDigest

/**
 * The text of a generating stage as far as it has come, whichever attempts it came from. One writer.
 *
 * @param onText told of each piece once it belongs to the text.
 */
class GeneratedText(private val onText: suspend (String) -> Unit = {}) {
    private val digest = MessageDigest.getInstance("SHA-256")
    private val text = StringBuilder()

    /** Bytes so far, as UTF-8. */
    var length: Long = 0
        private set

    /** Adds [piece] at the end. */
    suspend fun append(piece: String) {
        val bytes = piece.encodeToByteArray()
        digest.update(bytes)
        length += bytes.size
        text.append(piece)
        onText(piece)
    }

    /** SHA-256 of the text so far. */
    fun sha256(): ByteArray = digest.digestSoFar()

    override fun toString(): String = text.toString()
}

/** The digest of what was added until now; more can be added afterwards. */
internal fun MessageDigest.digestSoFar(): ByteArray = (clone() as MessageDigest).digest()
