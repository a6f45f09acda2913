package io.oriolehall.proofs.keys

import io.oriolehall.cli.client.CallOutcome
import io.oriolehall.harness.fleet.EntryProcess
import io.oriolehall.harness.fleet.Fleet
import io.oriolehall.harness.fleet.newKey
import io.oriolehall.harness.fleet.withFleet
import io.oriolehall.model.ZoneId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Share of fresh orders that are served while instances fail, and what the protection costs. */
class KeyAvailabilityTest {
    private val cut = ZoneId("z2")

    @Test
    fun `fresh orders are served by token wherever an instance and an endpoint live`() =
        withFleet("keys-availability", { orders(zones = 4, entriesPerZone = 2) }) { fleet ->
            repeat(WARM_UP) { fleet.entries.forEach { entry -> kinds.forEach { it.send(fleet, entry) } } }
            measure(fleet, "all live", fleet.entries)

            fleet.entries[0].process.kill()
            val killed = measure(fleet, "one of eight killed", fleet.entries.drop(1))
            fleet.entries[0].restart()

            fleet.faults.isolate(cut)
            val inside =
                measure(fleet, "in the zone cut off", fleet.entries.filter { it.spec.zone == cut }, SLOW_ROUNDS)
            val outside =
                measure(fleet, "outside the zone cut off", fleet.entries.filter { it.spec.zone != cut }, SLOW_ROUNDS)
            fleet.faults.heal()

            for (shares in listOf(killed, inside, outside)) expectThat(shares.getValue("token")) isEqualTo 1.0
            expectThat(killed.getValue("caller's key")) isEqualTo 1.0
        }

    /** Sends orders of each kind in turn; with callers' keys only [keyRounds], which silent witnesses make slow. */
    private suspend fun measure(
        fleet: Fleet,
        situation: String,
        entries: List<EntryProcess>,
        keyRounds: Int = ROUNDS,
    ): Map<String, Double> {
        val sendings = kinds.associateWith { mutableListOf<Sending>() }
        repeat(ROUNDS) { round ->
            val entry = entries[round % entries.size]
            for ((kind, results) in sendings) {
                if (kind !== callersKey || round < keyRounds) results += kind.send(fleet, entry)
            }
        }
        return sendings.entries.associate { (kind, results) -> kind.name to report(situation, kind, results) }
    }

    private fun report(situation: String, kind: KeyKind, results: List<Sending>): Double {
        val served = results.filter { it.served }.map { it.tookMs }.sorted()
        val share = served.size.toDouble() / results.size
        val times = listOf(0.5, 0.9, 0.99).map { served.getOrNull((served.size * it).toInt())?.let("%.1f"::format) }
        println("$situation, ${kind.name}: served ${served.size} of ${results.size}; ms at p50, p90, p99: $times")
        return share
    }

    private class Sending(val served: Boolean, val tookMs: Double)

    private class KeyKind(val name: String, val call: suspend (Fleet, EntryProcess) -> CallOutcome?) {
        suspend fun send(fleet: Fleet, entry: EntryProcess): Sending {
            val begin = System.nanoTime()
            val outcome = call(fleet, entry)
            return Sending(outcome is CallOutcome.Whole, (System.nanoTime() - begin) / NANOS_PER_MS)
        }
    }

    private companion object {
        const val ROUNDS = 140
        const val SLOW_ROUNDS = 30
        const val WARM_UP = 30
        const val NANOS_PER_MS = 1e6

        val callersKey = KeyKind("caller's key") { fleet, entry -> fleet.order(entry, newKey()) }
        val kinds = listOf(
            KeyKind("unprotected") { fleet, entry -> fleet.caller(SHOP, entry).send(UNPROTECTED, order("c-1")) },
            KeyKind("token") { fleet, entry -> fleet.order(entry, fleet.token(entry)) },
            callersKey,
        )
    }
}
