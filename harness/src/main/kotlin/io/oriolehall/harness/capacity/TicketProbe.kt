package io.oriolehall.harness.capacity

import io.oriolehall.entry.config.ConfigBatch
import io.oriolehall.entry.config.ConfigEntry
import io.oriolehall.model.ConfigObject
import io.oriolehall.model.Endpoint
import io.oriolehall.model.EndpointId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.Organisation
import io.oriolehall.model.OrganisationId
import io.oriolehall.model.PoolId
import io.oriolehall.model.StrictJson
import io.oriolehall.model.Ticket
import io.oriolehall.model.ZoneId
import io.oriolehall.peer.PeerCodec
import io.oriolehall.policy.config.TicketParser
import io.oriolehall.policy.config.TicketState
import io.oriolehall.policy.config.VersionedObject

/** An instance's configuration of [objects] objects, half endpoints and half organisations, and changes to it. */
internal class TicketProbe(private val objects: Int) {
    private var number = 0L
    private var state = TicketState()

    fun measure(): List<Quantity> {
        val kept = Meter.keptBytes { build() }
        state = build()
        val texts =
            List(WARM_CHANGES + CHANGES) { StrictJson.encodeToString(Ticket.serializer(), ticket(it % objects)) }
        texts.take(WARM_CHANGES).forEach(::take)
        val cpu = Meter.cpuMs { texts.drop(WARM_CHANGES).forEach(::take) }
        return listOf(
            Quantity("processor of a change", "ms", cpu / CHANGES),
            Quantity("text of a change", "bytes", texts.map { it.length }.average()),
            Quantity("memory", "bytes", kept),
            Quantity("whole configuration from a peer", "bytes", catchUpBytes()),
        )
    }

    private fun build() =
        (0 until objects).fold(TicketState()) { state, index -> state.withTicket(ticket(index), number) }

    private fun ticket(index: Int) = Ticket(++number, "operator", "a change for the plan", listOf(objectAt(index)))

    private fun objectAt(index: Int): ConfigObject = if (index % 2 == 0) {
        Endpoint(
            EndpointId("engine-zone-${index % ZONES}-$index"),
            ZoneId("zone-${index % ZONES}"),
            PoolId("engines"),
            NetworkAddress("10.1.${index / PER_SUBNET}.${index % PER_SUBNET}", PORT),
        )
    } else {
        Organisation(OrganisationId("organisation-$index"), listOf("0123456789abcdef".repeat(SECRET_REPEATS)))
    }

    /** What an instance does with a ticket that it reads: parse, merge, list the changes, rebuild its indexes. */
    private fun take(text: String) {
        val ticket = TicketParser.parse(text).value
        state.conflictWith(ticket)
        val after = state.merge(VersionedObject.allOf(ticket, ticket.number))
        after.changesSince(state)
        after.config.endpointsByPool
        after.config.highestTicket
        state = after
    }

    private fun catchUpBytes(): Double {
        val codec = PeerCodec("config.difference", ConfigBatch.serializer())
        val entries = state.config.objects.values.map(ConfigEntry::of)
        return entries.chunked(ENTRIES_PER_BATCH)
            .sumOf { codec.encode(ConfigBatch(number, ready = true, it)).size + PeerCodec.HEADER_BYTES }
            .toDouble()
    }

    private companion object {
        const val ZONES = 8
        const val PER_SUBNET = 200
        const val PORT = 9_000
        const val SECRET_REPEATS = 4
        const val WARM_CHANGES = 200
        const val CHANGES = 200
        const val ENTRIES_PER_BATCH = 100
    }
}
