package io.oriolehall.policy.quarantine

import io.oriolehall.model.OrganisationId
import io.oriolehall.model.PipelineId
import kotlinx.serialization.Serializable
import java.security.MessageDigest

/**
 * Identifies requests that are considered equal when crashes are attributed: the lower-case hexadecimal SHA-256 hash of
 * organisation, pipeline and input.
 */
@Serializable
@JvmInline
value class Fingerprint(val value: String) {
    override fun toString(): String = value

    companion object {
        /** The fingerprint of [input] sent by [organisation] to [pipeline]. */
        fun of(organisation: OrganisationId, pipeline: PipelineId, input: String): Fingerprint {
            val digest = MessageDigest.getInstance("SHA-256")
            for (component in listOf(organisation.value, pipeline.value, input)) {
                val bytes = component.encodeToByteArray()
                digest.update("${bytes.size}:".encodeToByteArray())
                digest.update(bytes)
            }
            return Fingerprint(digest.digest().toHexString())
        }
    }
}
