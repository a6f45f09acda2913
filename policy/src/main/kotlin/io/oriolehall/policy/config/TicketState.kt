package io.oriolehall.policy.config

import io.oriolehall.model.ObjectKey
import io.oriolehall.model.Ticket

/**
 * The configuration that follows from the tickets an instance knows. For each object the highest ticket number is in
 * force, whatever the order of arrival; nothing ever removes an object or goes back to a lower number. Two states that
 * took in the same tickets, directly or from each other, are equal.
 *
 * It keeps the newest version of each object and no old tickets, so its size follows from the number of objects.
 */
data class TicketState(
    val config: ConfigSnapshot = ConfigSnapshot(),
    val digest: ConfigDigest = ConfigDigest(),
) {
    /** This state with [ticket] taken in, which the platform published at [revision]. */
    fun accept(ticket: Ticket, revision: Long = 0): TicketState = merge(VersionedObject.allOf(ticket, revision))

    /** This state with [versions] taken in, each only where it supersedes what is in force. */
    fun merge(versions: Iterable<VersionedObject>): TicketState = versions.fold(this, TicketState::mergeOne)

    private fun mergeOne(version: VersionedObject): TicketState {
        val key = version.state.key
        val current = config.objects[key]
        if (current != null && !version.supersedes(current)) return this
        return TicketState(
            ConfigSnapshot(config.objects.put(key, version)),
            digest.replacing(key, current, version),
        )
    }

    /** Objects in the given [buckets] of the digest. */
    fun inBuckets(buckets: Set<Int>): List<VersionedObject> =
        config.objects.filterKeys { ConfigDigest.bucketOf(it) in buckets }.values.toList()

    /** The other ticket of [ticket]'s number that is in force, if there is one. */
    fun conflictWith(ticket: Ticket): NumberConflict? {
        val digest = ticketDigest(ticket)
        val other = config.objects.values.firstOrNull { it.ticket == ticket.number && it.digest != digest }
        return other?.let { NumberConflict(ticket.number, ticket.author, it.author) }
    }

    /** Changes from [earlier] to this state among the objects of [keys]. */
    fun changesSince(earlier: TicketState, keys: Set<ObjectKey> = config.objects.keys): List<ObjectChange> = keys
        .mapNotNull { key -> config.objects[key]?.let { ObjectChange(earlier.config.objects[key], it) } }
        .filter(ObjectChange::isOfAnotherTicket)
        .sortedBy { it.after.state.key }
}

/** A new version of an object in force; [before] is null for a new object. */
data class ObjectChange(val before: VersionedObject?, val after: VersionedObject) {
    internal fun isOfAnotherTicket() = before?.ticket != after.ticket || before.digest != after.digest
}

/** Two different tickets with one number. */
data class NumberConflict(val number: Long, val author: String, val otherAuthor: String) {
    /** What happened and what the operators should do. */
    val message: String
        get() = "number $number is taken by two different tickets, of $author and $otherAuthor; of an object in " +
            "both, the one published first is in force; issue a ticket of a higher number that states all of both"
}
