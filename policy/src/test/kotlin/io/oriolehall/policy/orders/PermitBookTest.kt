package io.oriolehall.policy.orders

import io.oriolehall.model.EndpointId
import io.oriolehall.model.Incarnation
import io.oriolehall.model.LoadReport
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class PermitBookTest {
    private val lifetimeMs = 1_000L
    private val registry = PermitRegistry(limit = 2, lifetimeMs).apply { updateOwnership(isOwner = true, nowMs = 0) }

    private fun holder(name: String) = PermitHolder(EndpointId(name), Incarnation(1, 1))

    @Test
    fun `no more permits are out than the store bears, until one is given back or has ended`() {
        expectThat(registry.grant(holder("a"), 1_000)).isTrue()
        expectThat(registry.grant(holder("b"), 1_100)).isTrue()
        expectThat(registry.grant(holder("c"), 1_200)).isFalse()
        expectThat(registry.grant(holder("a"), 1_200)).describedAs("requested again").isTrue()
        registry.release(holder("b"))
        expectThat(registry.grant(holder("c"), 1_300)).isTrue()
        expectThat(registry.grant(holder("d"), 2_199)).isFalse()
        expectThat(registry.grant(holder("d"), 2_200)).describedAs("the permit of a has expired").isTrue()
    }

    @Test
    fun `a new owner waits until the former one's permits have ended`() {
        expectThat(registry.grant(holder("a"), 999)).isFalse()
        expectThat(registry.grant(holder("a"), 1_000)).isTrue()
        registry.updateOwnership(isOwner = false, nowMs = 1_500)
        expectThat(registry.grant(holder("b"), 1_500)).isFalse()
        registry.updateOwnership(isOwner = true, nowMs = 1_600)
        expectThat(registry.grant(holder("b"), 2_599)).isFalse()
        expectThat(registry.grant(holder("b"), 2_600)).isTrue()
    }

    @Test
    fun `an engine is drained when it is idle after a lease, or after the longest call`() {
        val timing = OrderTiming()
        val idle = LoadReport(running = 0, queued = 0, limit = 0, warm = true, startedAtMs = 0)
        expectThat(timing.isDrained(timing.idleDrainMs - 1, idle)).isFalse()
        expectThat(timing.isDrained(timing.idleDrainMs, idle)).isTrue()
        expectThat(timing.isDrained(timing.idleDrainMs, idle.copy(queued = 1))).isFalse()
        expectThat(timing.isDrained(timing.idleDrainMs, null)).isFalse()
        expectThat(timing.isDrained(timing.drainMs, idle.copy(running = 1))).isTrue()
    }
}
