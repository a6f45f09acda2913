package io.oriolehall.proofs.config

import io.oriolehall.cli.client.CallOutcome
import io.oriolehall.harness.fleet.Fleet
import io.oriolehall.harness.fleet.awaitThat
import io.oriolehall.model.PipelineRequest
import io.oriolehall.model.ServiceState
import io.oriolehall.model.ZoneId
import io.oriolehall.policy.membership.MemberState
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

/** Zones and endpoints leave and return, and zones are cut off. New work is counted at the endpoints. */
class ZonesTest : SharedFleet("zones") {
    private val lastWorkLimitMs = 3_000L
    private val settleMs = 5_000L

    /** Publishes that z3 is out and returns the time until the last new work arrived there, milliseconds. */
    private suspend fun Fleet.takeOut(): Long {
        val publishedAtMs = System.currentTimeMillis()
        tickets.publish(zoneState("z3", ServiceState.OUT))
        return lastWorkAfter(publishedAtMs)
    }

    /** Time from [sinceMs] to the last new work at z3 within the settling time; negative when there was none. */
    private suspend fun Fleet.lastWorkAfter(sinceMs: Long): Long {
        delay(settleMs)
        return lastNewWorkAtMs("z3") - sinceMs
    }

    private fun List<CallRecord>.checkNothingCutOff(name: String) {
        ProofReport.line("$name: ${summary()}")
        refusals().forEach(::println)
        expectThat(filter { it.cutOff }).describedAs("requests cut off").isEmpty()
    }

    @Test
    fun `a zone that is taken out gets no new work after three seconds, and comes back`() =
        onFleet { fleet ->
            coroutineScope {
                val traffic = CallerTraffic(fleet, this).start()
                delay(settleMs)
                val lastWorkMs = fleet.takeOut()
                ProofReport.line("zone out: last new work after $lastWorkMs ms")
                expectThat(lastWorkMs).isLessThan(lastWorkLimitMs)
                val backAtMs = System.currentTimeMillis()
                fleet.tickets.publish(zoneState("z3", ServiceState.IN_SERVICE))
                awaitThat("new work arrives in the zone again") { fleet.lastNewWorkAtMs("z3") > backAtMs }
                val records = traffic.stop()
                records.checkNothingCutOff("zone out and back")
                expectThat(records.filter { it.pipeline != "order" }.wholeShare()).isGreaterThan(0.99)
            }
        }

    @Test
    fun `a zone is out also when one instance alone can read the platform`() =
        onFleet { fleet ->
            coroutineScope {
                val traffic = CallerTraffic(fleet, this).start()
                delay(settleMs)
                fleet.cutPlatformForAllBut(fleet.entry("entry-z1-1"))
                val lastWorkMs = fleet.takeOut()
                ProofReport.line("zone out, one reader: last new work after $lastWorkMs ms")
                traffic.stop().checkNothingCutOff("zone out, one reader")
                expectThat(lastWorkMs).isLessThan(lastWorkLimitMs)
            }
        }

    @Test
    fun `a zone that is cut off when its ticket is issued stops new work within three seconds of healing`() =
        onFleet { fleet ->
            fleet.faults.isolate(ZoneId("z3"))
            val outside = fleet.entriesOf("z1") + fleet.entriesOf("z2")
            val ticket = fleet.tickets.publish(zoneState("z3", ServiceState.OUT))
            awaitTicket(ticket, outside, timeoutMs = 5_000)
            coroutineScope {
                val traffic = CallerTraffic(fleet, this, fleet.entriesOf("z3"), pipelines = listOf("lookup")).start()
                delay(settleMs)
                val healedAtMs = System.currentTimeMillis()
                fleet.faults.heal()
                val lastWorkMs = fleet.lastWorkAfter(healedAtMs)
                ProofReport.line("zone out while cut off: last new work $lastWorkMs ms after healing")
                ProofReport.line("zone out while cut off: ${traffic.stop().summary()}")
                expectThat(lastWorkMs).isLessThan(lastWorkLimitMs)
            }
        }

    @Test
    fun `out and back in quick succession leaves the zone in service on every instance`() =
        onFleet { fleet ->
            fleet.tickets.publish(zoneState("z3", ServiceState.OUT))
            fleet.tickets.publish(zoneState("z3", ServiceState.IN_SERVICE))
            fleet.tickets.publish(zoneState("z3", ServiceState.OUT))
            val last = fleet.tickets.publish(zoneState("z3", ServiceState.IN_SERVICE))
            awaitTicket(last, fleet.entries, timeoutMs = 5_000)
            awaitAgreement(fleet.entries)
            for (entry in fleet.entries) {
                val record = entry.audit().last { it.subject == "zone/z3" }
                expectThat(record.ticket).isEqualTo(last.number)
            }
        }

    @Test
    fun `an instance that slept through the ticket sends no new work there three seconds after it woke`() =
        onFleet { fleet ->
            val paused = fleet.entry("entry-z3-1")
            coroutineScope {
                val traffic = CallerTraffic(
                    fleet,
                    this,
                    listOf(paused),
                    callers = 3,
                    pipelines = listOf("lookup"),
                ).start()
                delay(settleMs)
                paused.process.pause()
                val ticket = fleet.tickets.publish(zoneState("z3", ServiceState.OUT))
                awaitTicket(ticket, fleet.entries - paused, timeoutMs = 5_000)
                val wokeAtMs = System.currentTimeMillis()
                paused.process.resume()
                val lastWorkMs = fleet.lastWorkAfter(wokeAtMs)
                ProofReport.line("zone out, paused instance: last new work $lastWorkMs ms after it woke")
                traffic.stop()
                expectThat(lastWorkMs).isLessThan(lastWorkLimitMs)
            }
        }

    @Test
    fun `an endpoint that is taken out gets no new work after three seconds though one instance lags`() =
        onFleet { fleet ->
            coroutineScope {
                val traffic = CallerTraffic(fleet, this).start()
                delay(settleMs)
                fleet.cutPlatformForAllBut(fleet.entry("entry-z2-1"))
                val leaving = fleet.endpoint("gen-z1")
                val publishedAtMs = System.currentTimeMillis()
                fleet.tickets.publish(leaving.published.copy(state = ServiceState.OUT))
                delay(settleMs)
                val lastWorkMs = leaving.stats().lastNewWorkAtMs - publishedAtMs
                ProofReport.line("endpoint out, lists that lag: last new work after $lastWorkMs ms")
                traffic.stop().checkNothingCutOff("endpoint out")
                expectThat(lastWorkMs).isLessThan(lastWorkLimitMs)
            }
        }

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
