package io.oriolehall.dispatch.admission

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class StopAdmissionTest {
    private val admission = ShutdownAdmission(stopRequestedAtMs = 10_000, exitAtMs = 17_700)

    @Test
    fun `what the balancer sends before it has noticed is taken`() {
        expectThat(admission.admits(arrivedAtMs = 12_300, deadlineAtMs = 27_300)).isTrue()
    }

    /** Guards against admitting a stream 4.5 s after SIGTERM that the exit of the process then cuts off. */
    @Test
    fun `later on only what ends before the process is taken`() {
        expectThat(admission.admits(arrivedAtMs = 14_500, deadlineAtMs = 29_500)).isFalse()
        expectThat(admission.admits(arrivedAtMs = 14_500, deadlineAtMs = 15_300)).isTrue()
    }
}
