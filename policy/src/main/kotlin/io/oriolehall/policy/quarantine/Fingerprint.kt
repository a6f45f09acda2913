package io.oriolehall.policy.quarantine

import io.oriolehall.model.OrganisationId
import io.oriolehall.model.PipelineId
import kotlinx.serialization.Serializable
import java.security.MessageDigest

/**
 * What makes two requests the same as far as crashes go: the lower-case hex SHA-256 over who sent what to which
 * pipeline.
 */
@Serializable
@JvmInline
value class Fingerprint(val value: String) {
    override fun toString(): String = value

    companion object {
        /** The fingerprint of [input] sent by [organisation] to [pipeline]. */
        fun of(organisation: OrganisationId, pipeline: PipelineId, input: String): Fingerprint {
            val digest = MessageDigest.getInstance("SHA-256")
            for (part in listOf(organisation.value, pipeline.value, input)) {
                val bytes = part.encodeToByteArray()
                digest.update("${bytes.size}:".encodeToByteArray())
                digest.update(bytes)
            }
            return Fingerprint(digest.digest().toHexString())
        }
    }
}
