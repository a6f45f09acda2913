package io.oriolehall.entry.config

import io.oriolehall.model.AvailabilityZone
import io.oriolehall.model.Endpoint
import io.oriolehall.model.PublishedTicket
import io.oriolehall.model.Ticket
import io.oriolehall.policy.config.ConfigSnapshot
import io.oriolehall.policy.config.ObjectChange
import io.oriolehall.policy.config.TicketParser
import io.oriolehall.policy.config.TicketState
import io.oriolehall.policy.config.VersionedObject
import io.oriolehall.runtime.AuditTrail
import io.oriolehall.runtime.Event
import io.oriolehall.runtime.EventLog
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.serialization.Serializable

/** A ticket that was turned away, and the remedy. */
@Serializable
data class RejectedTicket(val revision: Long, val remedy: String)

/**
 * The configuration in force at this instance and the only place that changes it. Each change is audited with the
 * ticket and the way it came. Written by the control thread; read by any.
 */
class ConfigStore(private val returns: ServiceReturns, private val audit: AuditTrail, private val log: EventLog) {
    private val mutableState = MutableStateFlow(TicketState())

    /** Configuration in force and its digest. */
    val state: StateFlow<TicketState> = mutableState.asStateFlow()

    val config: ConfigSnapshot get() = state.value.config

    /** The newest rejected tickets, oldest first. */
    @Volatile
    var rejected: List<RejectedTicket> = emptyList()
        private set

    /** Takes in a ticket as the platform publishes it. */
    fun take(published: PublishedTicket) {
        val parsed = TicketParser.parse(published.text)
        if (parsed.isErr) return reject(published.revision, parsed.error.message)
        reportConflict(parsed.value, published.revision)
        merge(VersionedObject.allOf(parsed.value, published.revision), PLATFORM)
    }

    /** Takes in versions of objects from [source], an instance's name or [PLATFORM]. */
    fun merge(versions: List<VersionedObject>, source: String) {
        val before = mutableState.value
        val after = before.merge(versions)
        if (after === before) return
        mutableState.value = after
        val changes = after.changesSince(before, versions.map { it.state.key }.toSet())
        if (changes.any(::concernsService)) returns.note(before.config, after.config)
        changes.forEach { record(it, source) }
        changes.map { it.after.ticket }.distinct().sorted().forEach {
            log.write(Event.TICKET_IN_FORCE, "ticket" to it, "source" to source)
        }
    }

    private fun concernsService(change: ObjectChange) =
        change.after.state is Endpoint || change.after.state is AvailabilityZone

    private fun record(change: ObjectChange, source: String) {
        val after = change.after
        audit.record(
            actor = after.author,
            subject = after.state.key.toString(),
            cause = "${after.cause} (from $source)",
            ticket = after.ticket,
            before = change.before?.let { "ticket ${it.ticket}: ${it.state}" },
            after = after.state.toString(),
        )
    }

    private fun reject(revision: Long, remedy: String) {
        if (rejected.any { it.revision == revision }) return
        rejected = (rejected + RejectedTicket(revision, remedy)).takeLast(KEPT_REJECTIONS)
        log.write(Event.TICKET_REJECTED, "revision" to revision, "remedy" to remedy)
    }

    private fun reportConflict(ticket: Ticket, revision: Long) {
        val conflict = mutableState.value.conflictWith(ticket) ?: return
        rejected = (rejected.filter { it.revision != revision } + RejectedTicket(revision, conflict.message))
            .takeLast(KEPT_REJECTIONS)
        log.write(Event.TICKET_NUMBER_CONFLICT, "ticket" to ticket.number, "remedy" to conflict.message)
    }

    companion object {
        /** Source of what was read from the configuration service. */
        const val PLATFORM = "platform"
        private const val KEPT_REJECTIONS = 50
    }
}
