package io.oriolehall.dispatch.admission

import io.oriolehall.dispatch.admission.StageAdmission.Decision
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import kotlin.random.Random

class StageAdmissionTest {
    private val admission = StageAdmission(Random(1))

    private fun refused(expectedMs: Double, priority: Int): Int =
        (1..1_000).count { admission.decide(expectedMs, 2_000, 15_000, priority) is Decision.Refused }

    @Test
    fun `everyone is let in while the objective can be met with room to spare`() {
        expectThat(refused(expectedMs = 1_700.0, priority = 2)).isEqualTo(0)
    }

    @Test
    fun `above the objective the least urgent are refused first`() {
        val urgent = refused(expectedMs = 2_300.0, priority = 0)
        expectThat(refused(expectedMs = 2_300.0, priority = 2)).isGreaterThan(urgent)
        expectThat(urgent).isLessThan(500)
    }

    @Test
    fun `nobody is let in who could not be answered before the deadline`() {
        expectThat(admission.decide(13_000.0, 2_000, 15_000, priority = 0)).isA<Decision.Refused>()
    }

    @Test
    fun `callers are told to come back at different times`() {
        val times = (1..50).map { admission.decide(13_000.0, 2_000, 15_000, 0) as Decision.Refused }
        expectThat(times.map { it.retryAfterMs }.distinct().size).isGreaterThan(30)
    }
}
