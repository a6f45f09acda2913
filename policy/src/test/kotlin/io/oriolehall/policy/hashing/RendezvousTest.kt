package io.oriolehall.policy.hashing

import io.oriolehall.model.EndpointId
import io.oriolehall.model.InstanceId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isIn

class RendezvousTest {
    private val instances = (1..8).map { InstanceId("entry-$it") }
    private val endpoints = (1..8_000).map { EndpointId("engine-$it") }

    private fun owners(candidates: List<InstanceId>) = endpoints.associateWith { Rendezvous.owner(it, candidates) }

    @Test
    fun `the order of the candidates does not matter`() {
        expectThat(owners(instances.reversed())).isEqualTo(owners(instances))
    }

    @Test
    fun `each candidate gets about its share`() {
        val counts = owners(instances).values.groupingBy { it }.eachCount()
        expectThat(counts.values).hasSize(8).all { isIn(850..1_150) }
    }

    @Test
    fun `only what belonged to a candidate moves when it leaves`() {
        val before = owners(instances)
        val after = owners(instances.drop(1))
        val moved = endpoints.filter { before[it] != after[it] }
        expectThat(moved).all { get { before[this] }.isEqualTo(instances.first()) }
    }

    @Test
    fun `the owner is the first of the ranking`() {
        for (endpoint in endpoints.take(100)) {
            expectThat(Rendezvous.rankedInstances(endpoint.value, instances).first())
                .isEqualTo(Rendezvous.owner(endpoint, instances))
        }
    }

    @Test
    fun `weights of hashes give each candidate about its share, and only the share of one that leaves moves`() {
        val hashes = instances.map { Rendezvous.hash(it.value) }

        fun owner(endpoint: EndpointId, candidates: List<Long>) =
            candidates.maxBy { Rendezvous.weight(Rendezvous.hash(endpoint.value), it) }
        val before = endpoints.associateWith { owner(it, hashes) }
        expectThat(before.values.groupingBy { it }.eachCount().values).hasSize(8).all { isIn(850..1_150) }
        val moved = endpoints.filter { before[it] != owner(it, hashes.drop(1)) }
        expectThat(moved).all { get { before[this] }.isEqualTo(hashes.first()) }
    }
}
