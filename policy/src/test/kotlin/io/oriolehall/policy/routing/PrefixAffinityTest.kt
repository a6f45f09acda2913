package io.oriolehall.policy.routing

import io.oriolehall.model.Endpoint
import io.oriolehall.model.EndpointId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.OrganisationId
import io.oriolehall.model.PoolId
import io.oriolehall.model.ZoneId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import kotlin.random.Random

class PrefixAffinityTest {
    private val zone = ZoneId("z")

    private fun endpoint(id: String, zone: ZoneId = this.zone) =
        Endpoint(EndpointId(id), zone, PoolId("p"), NetworkAddress("127.0.0.1", 1))

    private fun context(prefix: String) = CallContext(OrganisationId("o"), zone, prefix)

    /** Simulates engines that cache [capacity] prefixes each and run every call for a random number of steps. */
    private inner class Simulation(private val policy: EndpointPolicy, seed: Long, private val capacity: Int = 5) {
        private val random = Random(seed)
        private val engines = List(4) { endpoint("e$it") }
        private val caches = engines.associate { it.id to LinkedHashMap<Int, Unit>(16, 0.75f, true) }
        private val callEndSteps = engines.associate { it.id to mutableListOf<Int>() }
        var cacheHits = 0
        var maxRunningCalls = 0

        fun run(calls: Int, prefixes: Int) = repeat(calls) { step ->
            callEndSteps.values.forEach { endSteps -> endSteps.removeAll { it <= step } }
            val prefix = random.nextInt(prefixes)
            val candidates = engines.map { Candidate(it, callEndSteps.getValue(it.id).size) }
            val chosen = checkNotNull(policy.choose(candidates, context("prefix $prefix"))).endpoint.id
            val cache = caches.getValue(chosen)
            if (cache.put(prefix, Unit) != null) cacheHits++
            if (cache.size > capacity) cache.remove(cache.keys.first())
            callEndSteps.getValue(chosen) += step + 8 + random.nextInt(16)
            maxRunningCalls = maxOf(maxRunningCalls, callEndSteps.getValue(chosen).size)
        }
    }

    private fun simulate(policy: EndpointPolicy, seed: Long) = Simulation(policy, seed).also {
        it.run(20_000, prefixes = 60)
    }

    @Test
    fun `with memory for a third of the prefixes affinity finds more than one and a half times as many cached`() {
        for (seed in 1L..3) {
            val affinity = simulate(PrefixAffinityPolicy(), seed)
            val leastOutstanding = simulate(LeastOutstandingPolicy(), seed)
            expectThat(affinity.cacheHits.toDouble()).isGreaterThan(1.5 * leastOutstanding.cacheHits)
            expectThat(affinity.maxRunningCalls).isLessThan(2 * leastOutstanding.maxRunningCalls)
        }
    }

    @Test
    fun `a burdened endpoint loses its prefixes to the others and another zone is the last resort`() {
        val policy = PrefixAffinityPolicy()
        val first = policy.choose(listOf(Candidate(endpoint("a"), 0), Candidate(endpoint("b"), 0)), context("x"))
        val loaded = listOf("a", "b").map { Candidate(endpoint(it), if (it == first?.endpoint?.id?.value) 9 else 1) }
        expectThat(policy.choose(loaded, context("x"))?.outstanding).isEqualTo(1)
        val otherZone = Candidate(endpoint("far", ZoneId("y")), 0)
        expectThat(policy.choose(loaded + otherZone, context("x"))?.endpoint?.zone).isEqualTo(zone)
        expectThat(policy.choose(listOf(otherZone), context("x"))).isEqualTo(otherZone)
    }
}
