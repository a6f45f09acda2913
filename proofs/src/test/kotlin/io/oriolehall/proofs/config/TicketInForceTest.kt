package io.oriolehall.proofs.config

import io.oriolehall.harness.fleet.Fleet
import io.oriolehall.harness.fleet.awaitThat
import io.oriolehall.harness.fleet.withFleet
import io.oriolehall.model.ServiceState
import io.oriolehall.model.StrictJson
import io.oriolehall.model.Ticket
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class TicketInForceTest {
    private val limitMs = 5_000L

    private fun ticket(number: Long, state: ServiceState, author: String = "ana") =
        Ticket(number, author, "test", listOf(zoneState("z3", state)))

    private suspend fun Fleet.publish(ticket: Ticket): Ticket {
        tickets.publishText(StrictJson.encodeToString(Ticket.serializer(), ticket))
        return ticket
    }

    @Test
    fun `a ticket is in force on every instance within five seconds`() = withFleet("ticket", {
        threeZones()
    }) { fleet ->
        val ticket = fleet.publish(ticket(10, ServiceState.OUT))
        val tookMs = awaitTicket(ticket, fleet.entries, limitMs)
        ProofReport.line("ticket in force on ${fleet.entries.size} instances, platform up: $tookMs ms")
    }

    @Test
    fun `a ticket that one instance has read is in force everywhere within five seconds`() =
        withFleet("ticket-one-reader", { threeZones() }) { fleet ->
            val times = (1..3).map { round ->
                fleet.cutPlatformForAllBut(fleet.entries[round])
                val ticket = fleet.publish(ticket(10L + round, ServiceState.OUT))
                awaitTicket(ticket, fleet.entries, limitMs).also { fleet.faults.heal() }
            }
            ProofReport.line("ticket read by one of ${fleet.entries.size} instances, in force on all: $times ms")
        }

    @Test
    fun `restarts of all but one instance while the platform is stale revert nothing`() =
        withFleet("ticket-stale", { threeZones() }) { fleet ->
            val ticket = fleet.publish(ticket(10, ServiceState.OUT))
            awaitTicket(ticket, fleet.entries, limitMs)
            fleet.platform.showUntil(revision = 1)
            val keeper = fleet.entry("entry-z2-1")
            (fleet.entries - keeper).forEach { it.restart() }
            for (entry in fleet.entries - keeper) {
                awaitThat("${entry.spec.id} is ready") { entry.ready() }
                expectThat(entry.status().highestTicket).describedAs("${entry.spec.id} when ready").isEqualTo(10)
            }
        }

    @Test
    fun `tickets that arrive backwards leave the highest in force`() = withFleet("ticket-backwards", {
        threeZones(1)
    }) {
        for (number in 19L downTo 11L) {
            it.publish(ticket(number, if (number == 19L) ServiceState.OUT else ServiceState.IN_SERVICE))
        }
        awaitTicket(ticket(19, ServiceState.OUT), it.entries, limitMs)
        awaitAgreement(it.entries)
        for (entry in it.entries) {
            expectThat(entry.audit().last { record -> record.subject == "zone/z3" }.ticket).isEqualTo(19)
        }
    }

    @Test
    fun `two operators who take one number are told, and all instances agree`() =
        withFleet("ticket-race", { threeZones() }) { fleet ->
            fleet.publish(ticket(10, ServiceState.OUT, author = "ana"))
            fleet.publish(ticket(10, ServiceState.IN_SERVICE, author = "ion"))
            awaitTicket(ticket(10, ServiceState.OUT), fleet.entries, limitMs)
            awaitAgreement(fleet.entries)
            for (entry in fleet.entries) {
                awaitThat("${entry.spec.id} reports the conflict") {
                    entry.status().rejectedTickets.any { "higher number" in it.remedy }
                }
                expectThat(entry.audit().last { it.subject == "zone/z3" }.actor).isEqualTo("ana")
            }
        }

    @Test
    fun `a paused instance that wakes has the newest ticket within five seconds`() =
        withFleet("ticket-paused", { threeZones() }) { fleet ->
            val paused = fleet.entry("entry-z1-1")
            paused.process.pause()
            val ticket = fleet.publish(ticket(10, ServiceState.OUT))
            awaitTicket(ticket, fleet.entries - paused, limitMs)
            paused.process.resume()
            val tookMs = awaitTicket(ticket, listOf(paused), limitMs)
            ProofReport.line("ticket in force on an instance after its pause: $tookMs ms")
        }
}
