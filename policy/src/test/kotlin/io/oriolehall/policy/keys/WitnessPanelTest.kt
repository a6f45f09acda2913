package io.oriolehall.policy.keys

import io.oriolehall.model.InstanceId
import io.oriolehall.model.WitnessRoster
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isTrue

class WitnessPanelTest {
    private val eightInstances = (1..8).map { InstanceId("entry-$it") }

    @Test
    fun `the panel of a key does not depend on the order of the roster`() {
        expectThat(WitnessPanel.of("k", WitnessRoster(eightInstances.reversed()))) isEqualTo
            WitnessPanel.of("k", WitnessRoster(eightInstances))
    }

    @Test
    fun `exchanging one name of the roster changes at most one witness of a key`() {
        val exchanged = eightInstances.drop(1) + InstanceId("entry-9")
        for (key in 1..500) {
            val before = WitnessPanel.of("key-$key", WitnessRoster(eightInstances)).members
            val after = WitnessPanel.of("key-$key", WitnessRoster(exchanged)).members
            expectThat(before.intersect(after.toSet()).size).isGreaterThanOrEqualTo(WitnessPanel.MAX_SIZE - 1)
        }
    }

    @Test
    fun `two sets of grants that suffice share three of five witnesses`() {
        val panel = WitnessPanel.of("k", WitnessRoster(eightInstances))
        expectThat(panel.members).hasSize(5)
        expectThat(panel.requiredGrants) isEqualTo 4
        expectThat(2 * panel.requiredGrants - panel.members.size) isEqualTo 3
    }

    @Test
    fun `grants that bar others leave too few for them, even with one witness that grants twice`() {
        for (size in 1..8) {
            val panel = WitnessPanel.of("k", WitnessRoster(eightInstances.take(size)))
            for (grants in (1 until panel.requiredGrants).filter(panel::blocksOthers)) {
                expectThat(panel.members.size - grants + 1 < panel.requiredGrants).isTrue()
            }
        }
    }
}
