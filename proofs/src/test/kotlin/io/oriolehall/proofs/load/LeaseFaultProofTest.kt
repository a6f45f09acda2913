package io.oriolehall.proofs.load

import io.oriolehall.harness.fleet.EntryProcess
import io.oriolehall.harness.fleet.Fleet
import io.oriolehall.harness.fleet.awaitThat
import io.oriolehall.harness.fleet.withFleet
import io.oriolehall.model.ZoneId
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import java.util.concurrent.atomic.AtomicInteger

class LeaseFaultProofTest {
    @Test
    fun `an endpoint whose owner was killed is used again in time and never overloaded`() =
        withFleet("lease-killed-owner", { oneEndpoint(COLD_MS, "leases") }) { fleet ->
            underFullLoad(fleet) { answered ->
                owner(fleet).process.kill()
                delay(LAST_CALLS_MS)
                val before = answered.get()
                val atMs = System.nanoTime() / NANOS_PER_MS
                awaitThat("the endpoint is used again", REUSE_BOUND_MS) { answered.get() > before }
                val took = System.nanoTime() / NANOS_PER_MS - atMs + LAST_CALLS_MS
                println("used again $took ms after its owner was killed")
                expectThat(took).describedAs("ms without use").isLessThan(REUSE_BOUND_MS)
            }
        }

    @Test
    fun `a holder that was paused for longer than its lease does not overload the endpoint when it wakes`() =
        withFleet("lease-paused-holder", { oneEndpoint(COLD_MS, "leases") }) { fleet ->
            underFullLoad(fleet) { answered ->
                val owner = owner(fleet)
                repeat(PAUSES) { n ->
                    val holder = fleet.entries.filter { it !== owner }[n]
                    holder.process.pause()
                    delay(PAUSE_MS)
                    holder.process.resume()
                    delay(LAST_CALLS_MS)
                }
                expectThat(answered.get()).describedAs("answers").isGreaterThan(0)
            }
        }

    @Test
    fun `an endpoint with holders in two zones is not overloaded while the zones are cut off and heal`() =
        withFleet("lease-zone-cut", {
            proxied = true
            oneEndpoint(COLD_MS, "leases")
            zone("z2") { entries(2) }
        }) { fleet ->
            underFullLoad(fleet) { answered ->
                fleet.faults.cutZones(ZoneId("z1"), ZoneId("z2"))
                val before = answered.get()
                delay(CUT_MS)
                expectThat(answered.get()).describedAs("answers while cut off").isGreaterThan(before)
                fleet.faults.heal()
                delay(CUT_MS)
            }
        }

    /** Runs [block] while calls wait at every instance, and counts overloads of the endpoint over all of it. */
    private suspend fun underFullLoad(fleet: Fleet, block: suspend (AtomicInteger) -> Unit) {
        val answered = AtomicInteger()
        coroutineScope {
            val load = launch { sendFully(fleet, answered) }
            awaitThat("calls are answered") { answered.get() > 0 }
            block(answered)
            load.cancel()
        }
        val stats = fleet.endpoint(ENDPOINT).stats()
        println("most calls at once ${stats.maxConcurrency}, overloads ${stats.overloads}, answers ${answered.get()}")
        expectThat(stats.overloads).describedAs("overloads").isEqualTo(0)
        expectThat(stats.maxConcurrency).describedAs("calls at once").isLessThan(COLD_LIMIT + 1)
    }

    private suspend fun owner(fleet: Fleet): EntryProcess {
        awaitThat("one instance owns the endpoint") { ownerIn(fleet) != null }
        return checkNotNull(ownerIn(fleet)) { "the owner changed while it was looked for" }
    }

    private companion object {
        const val COLD_MS = 300_000L
        const val NANOS_PER_MS = 1_000_000L

        /** By then the calls that ran have ended, and leases that nobody renews have run out. */
        const val LAST_CALLS_MS = 3_000L

        /**
         * Finding the loss: seven rounds of probes of 1.1 s at worst, a probe and its helpers 2.1 s, suspicion 3 s, a
         * round to spread it 1.1 s. Then the new owner's wait, 6.05 s, and a renewal, 1.25 s, twice.
         */
        const val REUSE_BOUND_MS = 23_000L

        /** Longer than a lease, shorter than the time for which an unheard call counts. */
        const val PAUSE_MS = 4_000L
        const val PAUSES = 3
        const val CUT_MS = 8_000L
    }
}
