package io.oriolehall.gateway.feed

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo

class ReadingPaceTest {
    /** The longest way of a change: its reader has just lost the platform, and its follower notices with a query. */
    private fun ReadingPace.longestWayMs() = minIntervalMs + maxSilenceMs + maxWaitMs

    @Test
    fun `a change is in force in time at any bound`() {
        for (configApplyMs in listOf(2_000L, 3_000L, 4_000L, 12_000L)) {
            val pace = ReadingPace.within(configApplyMs, keyRevocationMs = 5_000)
            expectThat(pace.longestWayMs()).isLessThan(configApplyMs)
        }
    }

    @Test
    fun `the configuration is confirmed four times within the revocation period`() {
        for (configApplyMs in listOf(2_000L, 4_000L, 60_000L)) {
            val pace = ReadingPace.within(configApplyMs, keyRevocationMs = 5_000)
            expectThat(pace.maxWaitMs).isLessThanOrEqualTo(1_250)
            expectThat(pace.confirmationMs).isEqualTo(1_250)
        }
    }

    @Test
    fun `a reader that waits for a change is not taken for a silent one`() {
        for (configApplyMs in listOf(2_000L, 3_000L, 4_000L)) {
            val pace = ReadingPace.within(configApplyMs, keyRevocationMs = null)
            expectThat(pace.maxWaitMs + pace.minIntervalMs).isLessThan(pace.maxSilenceMs)
        }
    }
}
