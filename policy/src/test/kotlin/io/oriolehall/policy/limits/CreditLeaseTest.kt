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
            val simulation = LeaseSimulation(seed, size = 2 + (seed % 7).toInt(), limit = limit)
            simulation.run(STEPS)
            expectThat(simulation.peakRunningCalls).describedAs("running calls, seed $seed").isLessThanOrEqualTo(limit)
        }
    }

    @Test
    fun `after the faults the whole limit is in use again`() {
        for (seed in 1L..20) {
            val simulation = LeaseSimulation(seed, size = 8, limit = 4)
            simulation.run(STEPS)
            simulation.stopFaults()
            simulation.run(4_000)
            val before = simulation.completedCalls
            simulation.run(2_000)
            // Calls last 200 ms on average, so four credits complete at most about 40 calls in two seconds.
            expectThat(simulation.completedCalls - before).describedAs("completed calls, seed $seed").isGreaterThan(24)
            expectThat(simulation.peakRunningCalls).describedAs("running calls, seed $seed").isLessThanOrEqualTo(4)
        }
    }

    @Test
    fun `an equal split overruns a limit below the number of instances`() {
        val simulation = LeaseSimulation(seed = 1, size = 8, limit = 2, equalSplit = true)
        simulation.faultsEnabled = false
        simulation.run(STEPS)
        expectThat(simulation.peakRunningCalls).isEqualTo(8)
    }

    private companion object {
        const val SEEDS = 300L
        const val STEPS = 8_000
    }
}
