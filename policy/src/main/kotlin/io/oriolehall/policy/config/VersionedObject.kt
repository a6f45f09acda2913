package io.oriolehall.policy.config

import io.oriolehall.model.ConfigObject
import io.oriolehall.model.StrictJson
import io.oriolehall.model.Ticket
import java.security.MessageDigest

/**
 * A configuration object and the ticket that put it in force.
 *
 * @property ticket number of the ticket.
 * @property revision lowest platform revision at which the ticket was read.
 * @property digest digest of the whole ticket; it distinguishes two tickets with the same number.
 */
data class VersionedObject(
    val ticket: Long,
    val state: ConfigObject,
    val revision: Long = 0,
    val digest: String = "",
    val author: String = "",
    val cause: String = "",
) {
    /**
     * True when this version takes precedence over [other] of the same object. The higher ticket number wins, then the
     * ticket that the platform published first, then the greater digest. The order is total, so all instances choose
     * the same version.
     */
    fun supersedes(other: VersionedObject): Boolean = PRECEDENCE.compare(this, other) > 0

    companion object {
        private val PRECEDENCE = compareBy<VersionedObject> { it.ticket }
            .thenByDescending { it.revision }
            .thenBy { it.digest }

        /** The objects of [ticket], which was published at [revision]. */
        fun allOf(ticket: Ticket, revision: Long): List<VersionedObject> {
            val digest = ticketDigest(ticket)
            return ticket.objects.map {
                VersionedObject(ticket.number, it, revision, digest, ticket.author, ticket.cause)
            }
        }
    }
}

private const val DIGEST_BYTES = 8

/** Digest of the content of a ticket, independent of the formatting of its JSON. */
internal fun ticketDigest(ticket: Ticket): String {
    val text = StrictJson.encodeToString(Ticket.serializer(), ticket)
    val hash = MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray())
    return hash.take(DIGEST_BYTES).joinToString("") { "%02x".format(it) }
}
