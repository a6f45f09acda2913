package io.oriolehall.policy.keys

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.oriolehall.model.OrganisationId
import io.oriolehall.model.WireJson
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.security.MessageDigest
import java.util.Base64
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec
import kotlin.random.Random

/**
 * The signed content of a token.
 *
 * @property holder the only process that may run a request under the token.
 * @property bornAtMs time of minting by the clock of [holder], milliseconds since the epoch.
 * @property random distinguishes tokens minted in the same millisecond.
 */
@Serializable
data class TokenContent(
    val organisation: OrganisationId,
    @SerialName("home") val holder: KeyHolder,
    val bornAtMs: Long,
    val random: Long,
)

/**
 * Encodes and verifies tokens: the content as JSON and its HMAC-SHA256, both in URL-safe Base64.
 *
 * @param secret signing key, the same on every instance.
 */
class TokenCodec(secret: String) {
    private val signingKey = SecretKeySpec(secret.toByteArray(), ALGORITHM)

    /** Creates a token for [organisation] that is held by [holder]. */
    fun mint(organisation: OrganisationId, holder: KeyHolder, nowMs: Long, random: Random): String {
        val content = TokenContent(organisation, holder, nowMs, random.nextLong())
        val body = encoder.encodeToString(WireJson.encodeToString(TokenContent.serializer(), content).toByteArray())
        return "$PREFIX$body.${encoder.encodeToString(sign(body))}"
    }

    /** The content of [token] if its signature is valid. */
    fun verify(token: String): Result<TokenContent, KeyFault> {
        val parts = token.removePrefix(PREFIX).split('.')
        val signature = parts.getOrNull(1)?.let(::decode)
        if (parts.size != 2 || signature == null || !MessageDigest.isEqual(signature, sign(parts[0]))) return invalid
        val json = decode(parts[0])?.decodeToString() ?: return invalid
        return try {
            Ok(WireJson.decodeFromString(TokenContent.serializer(), json))
        } catch (e: IllegalArgumentException) {
            invalid
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
        /** Prefix of every token. */
        const val PREFIX = "oh1."

        private const val ALGORITHM = "HmacSHA256"
        private val encoder = Base64.getUrlEncoder().withoutPadding()
        private val invalid = Err(KeyFault("the token was not minted by this system or was altered"))
    }
}
