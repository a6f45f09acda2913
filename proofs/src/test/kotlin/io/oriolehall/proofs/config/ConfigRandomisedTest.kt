package io.oriolehall.proofs.config

import io.oriolehall.harness.fleet.EntryProcess
import io.oriolehall.harness.fleet.Fleet
import io.oriolehall.harness.fleet.FleetBuilder
import io.oriolehall.harness.fleet.withFleet
import io.oriolehall.model.StageKind
import io.oriolehall.proofs.keys.ORDER
import io.oriolehall.proofs.keys.SHOP
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import kotlin.random.Random

/**
 * Kills, pauses, cuts, platform outages, zones that leave and return and operators who race, mixed at random under
 * load; what must always hold is checked after each step. `-Dconfig.seed=N` repeats a run, `-Dconfig.faultMs=N` sets
 * for how long it causes faults.
 */
class ConfigRandomisedTest {
    private val seed = System.getProperty("config.seed")?.toLong() ?: DEFAULT_SEED
    private val faultMs = System.getProperty("config.faultMs")?.toLong() ?: DEFAULT_FAULT_MS

    @Test
    fun `nothing that must hold is broken by faults in any mixture`() =
        withFleet("config-random", { counters() }) { fleet ->
            ProofReport.line("randomised run, seed $seed")
            println("seed $seed")
            val orders = OrderTraffic(fleet, seed)
            val run = RandomSteps(fleet, Random(seed))
            withContext(Dispatchers.Default) {
                coroutineScope {
                    val traffic = launch { orders.run() }
                    val startMs = System.nanoTime() / NANOS_PER_MS
                    while (System.nanoTime() / NANOS_PER_MS - startMs < faultMs) {
                        run.step()
                        fleet.check(orders, run.lastStep)
                    }
                    orders.stop()
                    traffic.join()
                }
            }
            fleet.check(orders, "the end")
            ProofReport.line("randomised run: ${run.summary()}; ${orders.summary()}")
            println("${run.summary()}; ${orders.summary()}")
            expectThat(orders.whole).describedAs("orders answered").isGreaterThan(run.steps * ORDERS_PER_STEP)
        }

    private suspend fun Fleet.check(orders: OrderTraffic, step: String) {
        val notRun = orders.toldNotRun()
        val ran = executionsByKey()
        expectThat(ran.filterValues { it > 1 }).describedAs("doubled orders after $step, seed $seed").isEmpty()
        expectThat(notRun.filter { it in ran }).describedAs("told not run but ran after $step, seed $seed").isEmpty()
        val overloads = endpoints.map { it.stats() }.filter { it.overloads > 0 }.map { "${it.id}: ${it.overloads}" }
        expectThat(overloads).describedAs("calls above an endpoint's limit after $step, seed $seed").isEmpty()
        for (entry in entries) {
            val subject = "reversions at ${entry.spec.id} after $step, seed $seed"
            expectThat(entry.reversions()).describedAs(subject).isEmpty()
        }
    }

    /** Changes of an object, in the life of the process that runs now, to a lower ticket than it had. */
    private suspend fun EntryProcess.reversions(): List<String> = audit()
        .filter { it.ticket != null && it.subject.startsWith("zone/") }
        .groupBy { it.subject }
        .flatMap { (subject, records) ->
            records.zipWithNext()
                .filter { (before, after) -> checkNotNull(after.ticket) < checkNotNull(before.ticket) }
                .map { (before, after) -> "$subject from ${before.ticket} to ${after.ticket}" }
        }

    private fun FleetBuilder.counters() {
        proxied = true
        for (zone in listOf("z1", "z2", "z3")) {
            zone(zone) {
                entries(2)
                endpoint("stock-$zone", "stock", StageKind.CALL, warmLimit = 4, arguments = listOf("--service-ms=60"))
            }
        }
        organisation(SHOP)
        pipeline(ORDER) { stage("order", StageKind.CALL, "stock", idempotent = false, expectedMs = 60) }
    }

    private companion object {
        const val DEFAULT_SEED = 20_261_204L
        const val DEFAULT_FAULT_MS = 65_000L
        const val NANOS_PER_MS = 1_000_000L
        const val ORDERS_PER_STEP = 5
    }
}
