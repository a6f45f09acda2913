package io.oriolehall.policy.keys

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import java.util.UUID

/** An idempotency key as a caller sends it, checked for its form. */
sealed interface IdempotencyKey {
    /** The key as instances write it in tables and messages. */
    val text: String

    /** When the key was made, milliseconds since the epoch, by the clock of its maker. */
    val bornAtMs: Long

    /** A key minted by an instance, which names its own holder. */
    data class Token(override val text: String, val content: TokenContent) : IdempotencyKey {
        override val bornAtMs: Long get() = content.bornAtMs
    }

    /** A UUID version 7 (RFC 9562) made by the caller. Witnesses decide who holds it. */
    data class CallerMade(override val text: String, override val bornAtMs: Long) : IdempotencyKey

    companion object {
        /** Longest key that is looked at, characters. */
        const val MAX_LENGTH = 1_024

        private const val UUID_LENGTH = 36
        private const val TIME_BASED_VERSION = 7
        private const val RFC_VARIANT = 2
        private const val RANDOM_BITS = 16

        /** The key that [text] holds, or why it is none. */
        fun parse(text: String, tokens: TokenCodec): Result<IdempotencyKey, KeyFault> = when {
            text.length > MAX_LENGTH -> Err(KeyFault("the key has ${text.length} characters; $MAX_LENGTH is the most"))
            text.startsWith(TokenCodec.PREFIX) -> tokens.verify(text).map { Token(text, it) }
            else -> parseUuid(text)
        }

        private fun parseUuid(text: String): Result<IdempotencyKey, KeyFault> {
            val uuid = if (text.length == UUID_LENGTH) runCatching { UUID.fromString(text) }.getOrNull() else null
            if (uuid == null || uuid.version() != TIME_BASED_VERSION || uuid.variant() != RFC_VARIANT) {
                return Err(KeyFault("the key is neither a token of this system nor a UUID of version 7"))
            }
            return Ok(CallerMade(uuid.toString(), uuid.mostSignificantBits ushr RANDOM_BITS))
        }
    }
}

/** Why a key cannot be used. [message] names what is wrong with it. */
data class KeyFault(val message: String)
