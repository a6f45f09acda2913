package io.oriolehall.policy.keys

import io.oriolehall.model.InstanceId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class KeyExplorationTest {
    private val two = listOf(InstanceId("a"), InstanceId("b"))
    private val three = two + InstanceId("c")

    private val twoBodies = listOf(RequestDigest("one"), RequestDigest("two"))

    @Test
    fun `a key of two witnesses, one of them replaced while callers send again`() {
        expectThat(explore(WorldLimits(WitnessPanel(two), sends = 2, kills = 1, spawns = 1))).isNull()
    }

    @Test
    fun `a key whose only witness and holder is replaced`() {
        val alone = WitnessPanel(two.take(1))
        expectThat(explore(WorldLimits(alone, slots = two, sends = 2, kills = 2, spawns = 2))).isNull()
    }

    @Test
    fun `a key whose lifetime passes`() {
        val alone = WitnessPanel(two.take(1))
        expectThat(explore(WorldLimits(alone, slots = two, sends = 3, kills = 1, spawns = 1, ticks = 2))).isNull()
    }

    @Test
    fun `a key sent with two bodies`() {
        expectThat(explore(WorldLimits(WitnessPanel(two), sends = 3, digests = twoBodies))).isNull()
    }

    @Test
    fun `a key of three witnesses, one of which lives twice under its name`() {
        val limits = WorldLimits(WitnessPanel(three), twins = setOf(three[0]), sends = 2, ticks = 0)
        expectThat(explore(limits)).isNull()
    }

    @Test
    fun `a key of three witnesses, two of which suffice`() {
        expectThat(explore(WorldLimits(WitnessPanel(three, needed = 2), sends = 2, ticks = 0))).isNull()
    }

    @Test
    fun `a majority of witnesses is too few when one lives twice`() {
        val limits = WorldLimits(WitnessPanel(three, needed = 2), twins = setOf(three[0]), sends = 2, ticks = 0)
        expectThat(explore(limits)).isNotNull()
    }

    @Test
    fun `a token sent through every instance while its home is replaced`() {
        val limits = WorldLimits(WitnessPanel(three), token = true, sends = 3, kills = 2, spawns = 2, ticks = 2)
        expectThat(explore(limits.copy(digests = twoBodies))).isNull()
    }

    private fun explore(limits: WorldLimits, rules: KeyRules = KeyRules()): String? {
        val begin = System.nanoTime()
        val result = StateExplorer(KeyWorlds(limits, rules)).explore()
        println("${result.states} states in ${(System.nanoTime() - begin) / 1_000_000} ms of $limits")
        return result.violation
    }
}
