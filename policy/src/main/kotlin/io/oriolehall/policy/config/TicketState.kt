package io.oriolehall.policy.config

import io.oriolehall.model.ObjectKey
import io.oriolehall.model.Ticket

/**
 * The configuration that results from the tickets an instance has received. For each object, the version with the
 * highest ticket number is in force, whatever the order of arrival. Objects are never removed and never revert to a
 * lower ticket number. Two states that have received the same tickets, directly or by merging each other, are equal.
 *
 * Only the newest version of each object is kept, so the size depends on the number of objects, not of tickets.
 */
data class TicketState(
    val config: ConfigSnapshot = ConfigSnapshot(),
    val digest: ConfigDigest = ConfigDigest(),
) {
    /** This state after applying [ticket], which the platform published at [revision]. */
    fun withTicket(ticket: Ticket, revision: Long = 0): TicketState = merge(VersionedObject.allOf(ticket, revision))

    /** This state after merging [versions]; each applies only if it supersedes the version in force. */
    fun merge(versions: Iterable<VersionedObject>): TicketState = versions.fold(this, TicketState::mergeOne)

    private fun mergeOne(version: VersionedObject): TicketState {
        val key = version.state.key
        val current = config.objects[key]
        if (current != null && !version.supersedes(current)) return this
        return TicketState(
            ConfigSnapshot(config.objects.put(key, version)),
            digest.withChange(key, current, version),
        )
    }

    /** Objects in the given [buckets] of the digest. */
    fun objectsInBuckets(buckets: Set<Int>): List<VersionedObject> =
        config.objects.filterKeys { ConfigDigest.bucketOf(it) in buckets }.values.toList()

    /** The conflict with a different ticket of the same number that is in force, or null if there is none. */
    fun conflictWith(ticket: Ticket): TicketNumberConflict? {
        val digest = ticketDigest(ticket)
        val other = config.objects.values.firstOrNull { it.ticket == ticket.number && it.digest != digest }
        return other?.let { TicketNumberConflict(ticket.number, ticket.author, it.author) }
    }

    /** Changes from [earlier] to this state, limited to the objects of [keys]. */
    fun changesSince(earlier: TicketState, keys: Set<ObjectKey> = config.objects.keys): List<ObjectChange> = keys
        .mapNotNull { key -> config.objects[key]?.let { ObjectChange(earlier.config.objects[key], it) } }
        .filter(ObjectChange::isFromDifferentTicket)
        .sortedBy { it.after.state.key }
}

/** A new version of an object in force; [before] is null for a new object. */
data class ObjectChange(val before: VersionedObject?, val after: VersionedObject) {
    internal fun isFromDifferentTicket() = before?.ticket != after.ticket || before.digest != after.digest
}

/** Two different tickets with the same number. */
data class TicketNumberConflict(val number: Long, val author: String, val otherAuthor: String) {
    /** Description of the conflict and of what the operators should do. */
    val message: String
        get() = "two different tickets have number $number, by $author and $otherAuthor; for an object in both, the " +
            "version published first is in force; issue a ticket with a higher number that contains the objects of both"
}
