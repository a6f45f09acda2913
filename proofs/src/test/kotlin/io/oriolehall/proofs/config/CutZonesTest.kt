package io.oriolehall.proofs.config

import io.oriolehall.cli.client.CallOutcome
import io.oriolehall.harness.fleet.awaitThat
import io.oriolehall.model.PipelineRequest
import io.oriolehall.model.ServiceState
import io.oriolehall.model.ZoneId
import io.oriolehall.policy.membership.MemberState
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

class CutZonesTest : SharedFleet("cut-zones") {
    @Test
    fun `zones cut off from each other and the platform serve from their own endpoints, and healing converges`() =
        onFleet { fleet ->
            for (zone in listOf("z1", "z2", "z3")) fleet.faults.isolate(ZoneId(zone))
            fleet.faults.cutPlatform()
            for (entry in fleet.entries) {
                awaitThat("${entry.spec.id} knows that it is cut off") {
                    entry.status().peers.filter { it.zone != entry.spec.zone }.all { it.state == MemberState.DEAD }
                }
                val answers = (1..5).map {
                    fleet.caller("authority", entry).send("lookup", PipelineRequest("cranes"), deadlineMs = 4_000)
                }
                expectThat(answers).describedAs("answers of ${entry.spec.id}").all { isA<CallOutcome.Whole>() }
            }
            val ticket = fleet.tickets.publish(zoneState("z3", ServiceState.OUT))
            fleet.faults.heal()
            val ticketMs = awaitTicket(ticket, fleet.entries)
            val agreementMs = awaitAgreement(fleet.entries)
            val start = System.nanoTime()
            awaitThat("every instance sees all others again") {
                fleet.entries.all { entry -> entry.status().peers.count { it.state == MemberState.ALIVE } == 5 }
            }
            val membersMs = (System.nanoTime() - start) / 1_000_000
            ProofReport.line(
                "cut zones healed: ticket $ticketMs ms, agreement +$agreementMs ms, members +$membersMs ms",
            )
            expectThat(ticketMs + agreementMs).isLessThan(12_000)
            for (entry in fleet.entries) expectThat(entry.status().highestTicket).isEqualTo(ticket.number)
        }
}
