package io.oriolehall.policy.config

import io.oriolehall.model.ObjectKey
import io.oriolehall.model.Ticket
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap

/**
 * Tickets known to an instance and the configuration that follows from them. For each object the highest ticket number
 * wins, whatever the order of arrival.
 */
data class TicketState(
    val tickets: PersistentMap<Long, Ticket> = persistentMapOf(),
    val config: ConfigSnapshot = ConfigSnapshot(),
) {
    /** This state with [ticket] taken in. */
    fun accept(ticket: Ticket): TicketState {
        if (ticket.number in tickets) return this
        val changes = ticket.objects.filter { wins(ticket.number, it.key) }
        val objects = config.objects.putAll(
            changes.associate { it.key to VersionedObject(ticket.number, it) }.toPersistentMap(),
        )
        return TicketState(tickets.put(ticket.number, ticket), ConfigSnapshot(objects))
    }

    private fun wins(number: Long, key: ObjectKey): Boolean = number > (config.objects[key]?.ticket ?: 0)
}
