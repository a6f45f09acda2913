package io.oriolehall.policy.keys

import io.oriolehall.model.OrganisationId
import io.oriolehall.model.PipelineId
import io.oriolehall.model.RequestId
import java.security.MessageDigest

/** Digest of the fields that identify a request: organisation, pipeline and body. Equal digests mean equal requests. */
@JvmInline
value class RequestDigest(val value: String) {
    companion object {
        /** Digest of a request. [body] is its parsed body, serialized again as JSON. */
        fun of(organisation: OrganisationId, pipeline: PipelineId, body: String): RequestDigest =
            RequestDigest(sha256(organisation.value, pipeline.value, body))

        /** Identifier of the request that runs under [key]. The key cannot be derived from it. */
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
