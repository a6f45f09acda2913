package io.oriolehall.dispatch.admission

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class StopAdmissionTest {
    private val stop = StopAdmission(sinceMs = 10_000, untilMs = 17_700)

    @Test
    fun `what the balancer sends before it has noticed is taken`() {
        expectThat(stop.admits(arrivedAtMs = 12_300, deadlineAtMs = 27_300)).isTrue()
    }

    /** Found on a hunted day of pcta-fittings: a stream that came 4.5 s after SIGTERM was cut off by the exit. */
    @Test
    fun `later on only what ends before the process is taken`() {
        expectThat(stop.admits(arrivedAtMs = 14_500, deadlineAtMs = 29_500)).isFalse()
        expectThat(stop.admits(arrivedAtMs = 14_500, deadlineAtMs = 15_300)).isTrue()
    }
}
