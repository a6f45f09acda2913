package io.oriolehall.dispatch.admission

import io.oriolehall.dispatch.config.PieceLimits
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

class StageLoadsTest {
    private val limits = PieceLimits(1, batch = 4, 240.0, 30.0, resultMemoryBytes = 1_000, resultLifetimeMs = 4_000)
    private val estimates = StageTimeEstimates()

    private fun expectedMs(nowMs: Long) = estimates.expectedMs("s", limits, nowMs)

    @Test
    fun `a queue of which nothing was said takes one call`() {
        expectThat(expectedMs(nowMs = 0)).isEqualTo(270.0)
    }

    @Test
    fun `what was said holds less the time since then, and never less than one call`() {
        estimates.record("s", 2_000, nowMs = 100)
        expectThat(expectedMs(nowMs = 600)).isEqualTo(1_500.0)
        expectThat(expectedMs(nowMs = 9_000)).isEqualTo(270.0)
    }

    /** In a soak, an owner without usable workers said 60 s, and callers were refused for most of that time. */
    @Test
    fun `a very long time does not outlast its cause`() {
        estimates.record("s", 60_000, nowMs = 0)
        expectThat(expectedMs(nowMs = 0)).isGreaterThan(4_000.0)
        expectThat(expectedMs(nowMs = 5_000)).isEqualTo(270.0)
    }
}
