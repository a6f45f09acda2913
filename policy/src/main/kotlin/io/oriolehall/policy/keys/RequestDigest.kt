package io.oriolehall.policy.keys

import io.oriolehall.model.OrganisationId
import io.oriolehall.model.PipelineId
import io.oriolehall.model.RequestId
import java.security.MessageDigest

/** Digest of everything that makes two requests the same: organisation, pipeline and body. */
@JvmInline
value class RequestDigest(val value: String) {
    companion object {
        /** Digest of a request whose body is [body], the JSON as it was understood. */
        fun of(organisation: OrganisationId, pipeline: PipelineId, body: String): RequestDigest =
            RequestDigest(sha256(organisation.value, pipeline.value, body))

        /** Identifier of the request that runs under a key. It tells nothing of the key. */
        fun requestId(key: String): RequestId = RequestId("k" + sha256("request", key).take(REQUEST_ID_DIGITS))

        private fun sha256(vararg parts: String): String {
            val digest = MessageDigest.getInstance("SHA-256")
            for (part in parts) {
                val bytes = part.toByteArray()
                digest.update("${bytes.size}:".toByteArray())
                digest.update(bytes)
            }
            return digest.digest().joinToString("") { "%02x".format(it) }
        }

        private const val REQUEST_ID_DIGITS = 31
    }
}
