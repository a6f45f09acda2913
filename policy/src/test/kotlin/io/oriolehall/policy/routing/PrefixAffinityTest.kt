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

    /** Engines that keep [kept] prefixes each and run each call for a random time. */
    private inner class Model(private val policy: EndpointPolicy, seed: Long, private val kept: Int = 5) {
        private val random = Random(seed)
        private val engines = List(4) { endpoint("e$it") }
        private val caches = engines.associate { it.id to LinkedHashMap<Int, Unit>(16, 0.75f, true) }
        private val ends = engines.associate { it.id to mutableListOf<Int>() }
        var hits = 0
        var highest = 0

        fun run(calls: Int, prefixes: Int) = repeat(calls) { now ->
            ends.values.forEach { all -> all.removeAll { it <= now } }
            val prefix = random.nextInt(prefixes)
            val candidates = engines.map { Candidate(it, ends.getValue(it.id).size) }
            val chosen = checkNotNull(policy.choose(candidates, context("prefix $prefix"))).endpoint.id
            val cache = caches.getValue(chosen)
            if (cache.put(prefix, Unit) != null) hits++
            if (cache.size > kept) cache.remove(cache.keys.first())
            ends.getValue(chosen) += now + 8 + random.nextInt(16)
            highest = maxOf(highest, ends.getValue(chosen).size)
        }
    }

    private fun model(policy: EndpointPolicy, seed: Long) = Model(policy, seed).also { it.run(20_000, prefixes = 60) }

    @Test
    fun `with memory for a third of the prefixes affinity finds more than one and a half times as many cached`() {
        for (seed in 1L..3) {
            val affinity = model(PrefixAffinityPolicy(), seed)
            val least = model(LeastOutstandingPolicy(), seed)
            expectThat(affinity.hits.toDouble()).isGreaterThan(1.5 * least.hits)
            expectThat(affinity.highest).isLessThan(2 * least.highest)
        }
    }

    @Test
    fun `a burdened endpoint loses its prefixes to the others and another zone is the last resort`() {
        val policy = PrefixAffinityPolicy()
        val one = policy.choose(listOf(Candidate(endpoint("a"), 0), Candidate(endpoint("b"), 0)), context("x"))
        val burdened = listOf("a", "b").map { Candidate(endpoint(it), if (it == one?.endpoint?.id?.value) 9 else 1) }
        expectThat(policy.choose(burdened, context("x"))?.outstanding).isEqualTo(1)
        val far = Candidate(endpoint("far", ZoneId("y")), 0)
        expectThat(policy.choose(burdened + far, context("x"))?.endpoint?.zone).isEqualTo(zone)
        expectThat(policy.choose(listOf(far), context("x"))).isEqualTo(far)
    }
}
