package io.oriolehall.policy.limits

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo

class CreditLeaseTest {
    @Test
    fun `leases keep the sum of all calls within the limit under any order of faults`() {
        for (seed in 1L..SEEDS) {
            val limit = 1 + (seed % 7).toInt()
            val fleet = CreditFleet(seed, size = 2 + (seed % 7).toInt(), limit = limit)
            fleet.run(STEPS)
            expectThat(fleet.peak).describedAs("running calls, seed $seed").isLessThanOrEqualTo(limit)
        }
    }

    @Test
    fun `after the faults the whole limit is in use again`() {
        for (seed in 1L..20) {
            val fleet = CreditFleet(seed, size = 8, limit = 4)
            fleet.run(STEPS)
            fleet.heal()
            fleet.run(4_000)
            val before = fleet.served
            fleet.run(2_000)
            // Calls last 200 ms on average, so that four credits serve 40 calls in two seconds at best.
            expectThat(fleet.served - before).describedAs("calls served, seed $seed").isGreaterThan(24)
            expectThat(fleet.peak).describedAs("running calls, seed $seed").isLessThanOrEqualTo(4)
        }
    }

    @Test
    fun `an equal split overruns a limit below the number of instances`() {
        val fleet = CreditFleet(seed = 1, size = 8, limit = 2, equalSplit = true)
        fleet.faults = false
        fleet.run(STEPS)
        expectThat(fleet.peak).isEqualTo(8)
    }

    private companion object {
        const val SEEDS = 300L
        const val STEPS = 8_000
    }
}
