package io.oriolehall.policy.keys

import io.oriolehall.model.InstanceId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class KeyExplorationTest {
    private val twoInstances = listOf(InstanceId("a"), InstanceId("b"))
    private val threeInstances = twoInstances + InstanceId("c")

    private val twoBodies = listOf(RequestDigest("one"), RequestDigest("two"))

    @Test
    fun `a key of two witnesses, one of them replaced while callers send again`() {
        expectThat(explore(ModelLimits(WitnessPanel(twoInstances), requests = 2, kills = 1, spawns = 1))).isNull()
    }

    @Test
    fun `a key whose only witness and holder is replaced`() {
        val singleWitness = WitnessPanel(twoInstances.take(1))
        expectThat(
            explore(ModelLimits(singleWitness, instances = twoInstances, requests = 2, kills = 2, spawns = 2)),
        ).isNull()
    }

    @Test
    fun `a key whose lifetime passes`() {
        val singleWitness = WitnessPanel(twoInstances.take(1))
        expectThat(
            explore(
                ModelLimits(singleWitness, instances = twoInstances, requests = 3, kills = 1, spawns = 1, ticks = 2),
            ),
        ).isNull()
    }

    @Test
    fun `a key sent with two bodies`() {
        expectThat(explore(ModelLimits(WitnessPanel(twoInstances), requests = 3, digests = twoBodies))).isNull()
    }

    @Test
    fun `a key of three witnesses, one of which lives twice under its name`() {
        val limits =
            ModelLimits(WitnessPanel(threeInstances), duplicatedIds = setOf(threeInstances[0]), requests = 2, ticks = 0)
        expectThat(explore(limits)).isNull()
    }

    @Test
    fun `a key of three witnesses, two of which suffice`() {
        expectThat(
            explore(ModelLimits(WitnessPanel(threeInstances, requiredGrants = 2), requests = 2, ticks = 0)),
        ).isNull()
    }

    @Test
    fun `a majority of witnesses is too few when one lives twice`() {
        val limits =
            ModelLimits(
                WitnessPanel(threeInstances, requiredGrants = 2),
                duplicatedIds = setOf(threeInstances[0]),
                requests = 2,
                ticks = 0,
            )
        expectThat(explore(limits)).isNotNull()
    }

    @Test
    fun `a token sent through every instance while its home is replaced`() {
        val limits =
            ModelLimits(WitnessPanel(threeInstances), token = true, requests = 3, kills = 2, spawns = 2, ticks = 2)
        expectThat(explore(limits.copy(digests = twoBodies))).isNull()
    }

    private fun explore(limits: ModelLimits, rules: KeyRules = KeyRules()): String? {
        val startNanos = System.nanoTime()
        val result = StateExplorer(KeyModel(limits, rules)).explore()
        println("${result.states} states in ${(System.nanoTime() - startNanos) / 1_000_000} ms of $limits")
        return result.violation
    }
}
