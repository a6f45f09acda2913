package io.oriolehall.policy.quarantine

import io.oriolehall.model.OrganisationId
import io.oriolehall.model.PipelineId
import kotlinx.serialization.Serializable
import java.security.MessageDigest

/**
 * Identifies what crashes are attributed to, either requests that are considered equal or a part that different
 * requests share: the lower-case hexadecimal SHA-256 hash of what makes it up.
 */
@Serializable
@JvmInline
value class Fingerprint(val value: String) {
    override fun toString(): String = value

    companion object {
        /** The fingerprint of [input] sent by [organisation] to [pipeline]. */
        fun of(organisation: OrganisationId, pipeline: PipelineId, input: String): Fingerprint =
            of(organisation.value, pipeline.value, input)

        /** The fingerprint of a request of [organisation] to [service], by its path, [promptParts] and [body]. */
        fun ofRequest(
            service: String,
            organisation: String,
            path: String,
            promptParts: List<String>,
            body: ByteArray,
        ): Fingerprint = hash((listOf(service, organisation, path) + promptParts).map(String::encodeToByteArray) + body)

        /** The fingerprint of a part that prompts sent to [service] share. */
        fun ofPromptPart(service: String, part: String): Fingerprint = of("prompt part", service, part)

        private fun of(vararg components: String) = hash(components.map(String::encodeToByteArray))

        private fun hash(components: List<ByteArray>): Fingerprint {
            val digest = MessageDigest.getInstance("SHA-256")
            for (bytes in components) {
                digest.update("${bytes.size}:".encodeToByteArray())
                digest.update(bytes)
            }
            return Fingerprint(digest.digest().toHexString())
        }
    }
}
