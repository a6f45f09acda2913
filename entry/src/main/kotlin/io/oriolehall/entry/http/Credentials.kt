package io.oriolehall.entry.http

import io.oriolehall.model.Organisation
import io.oriolehall.model.OrganisationId
import io.oriolehall.policy.config.ConfigSnapshot
import java.security.MessageDigest
import java.util.Base64

/** Checks the Basic credentials of RFC 7617 that a caller sends: the organisation's name and one of its secrets. */
internal object Credentials {
    private const val SCHEME = "Basic "

    /** The organisation that [header] proves, or null when it proves none. */
    fun authenticate(header: String?, config: ConfigSnapshot): Organisation? {
        val (name, secret) = parse(header) ?: return null
        val organisation = config.organisation(OrganisationId(name)) ?: return null
        val digest = sha256(secret)
        val known = organisation.secretSha256.map { MessageDigest.isEqual(it.encodeToByteArray(), digest) }
        return organisation.takeIf { known.any { it } }
    }

    private fun parse(header: String?): Pair<String, String>? {
        if (header == null || !header.startsWith(SCHEME, ignoreCase = true)) return null
        val text = try {
            Base64.getDecoder().decode(header.substring(SCHEME.length).trim()).decodeToString()
        } catch (e: IllegalArgumentException) {
            return null
        }
        if (':' !in text) return null
        return text.substringBefore(':') to text.substringAfter(':')
    }

    private fun sha256(text: String): ByteArray =
        MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray()).toHexString().encodeToByteArray()
}
