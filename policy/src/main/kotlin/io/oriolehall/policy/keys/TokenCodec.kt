package io.oriolehall.policy.keys

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.oriolehall.model.OrganisationId
import io.oriolehall.model.WireJson
import kotlinx.serialization.Serializable
import java.security.MessageDigest
import java.util.Base64
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec
import kotlin.random.Random

/**
 * What a token says.
 *
 * @property home the only process that ever runs a request under the token.
 * @property bornAtMs when it was minted, milliseconds since the epoch, by the home's clock.
 * @property random separates tokens minted in the same millisecond.
 */
@Serializable
data class TokenContent(
    val organisation: OrganisationId,
    val home: KeyHolder,
    val bornAtMs: Long,
    val random: Long,
)

/**
 * Writes and reads tokens: the content as JSON and an HMAC-SHA256 over it, both in Base64 for URLs.
 *
 * @param secret key of the signature, the same on every instance.
 */
class TokenCodec(secret: String) {
    private val signingKey = SecretKeySpec(secret.toByteArray(), ALGORITHM)

    /** A new token of [organisation] whose home is [home]. */
    fun mint(organisation: OrganisationId, home: KeyHolder, nowMs: Long, random: Random): String {
        val content = TokenContent(organisation, home, nowMs, random.nextLong())
        val body = encoder.encodeToString(WireJson.encodeToString(TokenContent.serializer(), content).toByteArray())
        return "$PREFIX$body.${encoder.encodeToString(sign(body))}"
    }

    /** What [token] says, provided that its signature is right. */
    fun verify(token: String): Result<TokenContent, KeyFault> {
        val parts = token.removePrefix(PREFIX).split('.')
        val signature = parts.getOrNull(1)?.let(::decode)
        if (parts.size != 2 || signature == null || !MessageDigest.isEqual(signature, sign(parts[0]))) return forged
        val json = decode(parts[0])?.decodeToString() ?: return forged
        return try {
            Ok(WireJson.decodeFromString(TokenContent.serializer(), json))
        } catch (e: IllegalArgumentException) {
            forged
        }
    }

    private fun sign(body: String): ByteArray =
        Mac.getInstance(ALGORITHM).apply { init(signingKey) }.doFinal(body.toByteArray())

    private fun decode(text: String): ByteArray? = try {
        Base64.getUrlDecoder().decode(text)
    } catch (e: IllegalArgumentException) {
        null
    }

    companion object {
        /** Start of every token. */
        const val PREFIX = "oh1."

        private const val ALGORITHM = "HmacSHA256"
        private val encoder = Base64.getUrlEncoder().withoutPadding()
        private val forged = Err(KeyFault("the token was not minted by this system or was changed on its way"))
    }
}
