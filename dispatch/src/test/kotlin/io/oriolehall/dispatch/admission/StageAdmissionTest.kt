package io.oriolehall.dispatch.admission

import io.oriolehall.dispatch.admission.StageAdmission.Decision
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import kotlin.random.Random

class StageAdmissionTest {
    private val admission = StageAdmission(Random(1))

    private fun decide(expectedMs: Double, priority: Int, othersAreShedFirst: Boolean = false) =
        admission.decide(expectedMs, 2_000, 15_000, priority, othersAreShedFirst)

    private fun refusedCount(expectedMs: Double, priority: Int, othersAreShedFirst: Boolean = false): Int =
        (1..1_000).count { decide(expectedMs, priority, othersAreShedFirst) is Decision.Refused }

    @Test
    fun `everyone is let in while the objective can be met with room to spare`() {
        expectThat(refusedCount(expectedMs = 1_700.0, priority = 2)).isEqualTo(0)
    }

    @Test
    fun `above the objective the least urgent are refused first`() {
        val urgent = refusedCount(expectedMs = 2_300.0, priority = 0)
        expectThat(refusedCount(expectedMs = 2_300.0, priority = 2)).isGreaterThan(urgent)
        expectThat(urgent).isLessThan(500)
    }

    @Test
    fun `where others give way, the urgent are let in and the others refused entirely`() {
        expectThat(refusedCount(expectedMs = 2_500.0, priority = 2, othersAreShedFirst = true)).isEqualTo(1_000)
        expectThat(refusedCount(expectedMs = 2_500.0, priority = 1, othersAreShedFirst = true)).isEqualTo(0)
        expectThat(refusedCount(expectedMs = 2_500.0, priority = 0, othersAreShedFirst = true)).isEqualTo(0)
    }

    @Test
    fun `nobody is let in who could not be answered before the deadline`() {
        expectThat(decide(13_000.0, priority = 0)).isA<Decision.Refused>()
    }

    /** Guards against an explanation that states another probability than the one that decides. */
    @Test
    fun `the stated probability is the share of requests that are refused`() {
        val cases = listOf(1_700.0 to 0, 2_300.0 to 0, 2_300.0 to 2, 2_500.0 to 1, 4_000.0 to 0, 13_000.0 to 0)
        for ((expectedMs, priority) in cases) {
            val probability = admission.refusalProbability(expectedMs, 2_000, 15_000, priority, false)
            expectThat(probability).isIn(0.0..1.0)
            expectThat(refusedCount(expectedMs, priority) / 1_000.0).isIn(probability - 0.06..probability + 0.06)
        }
    }

    @Test
    fun `callers are told to come back at different times`() {
        val refusals = (1..50).map { decide(13_000.0, priority = 0) as Decision.Refused }
        expectThat(refusals.map { it.retryAfterMs }.distinct().size).isGreaterThan(30)
    }
}
