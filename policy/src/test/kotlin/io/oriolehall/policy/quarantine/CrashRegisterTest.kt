package io.oriolehall.policy.quarantine

import io.oriolehall.model.EndpointId
import io.oriolehall.model.OrganisationId
import io.oriolehall.model.PipelineId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotEqualTo
import strikt.assertions.isTrue

class CrashRegisterTest {
    private val request = Fingerprint.of(OrganisationId("a"), PipelineId("p"), "input")
    private val first = EndpointLoss(EndpointId("e1"), 1_000)
    private val second = EndpointLoss(EndpointId("e2"), 3_000)

    @Test
    fun `one lost endpoint makes a suspect and the second one a blamed request`() {
        val once = CrashRegister().withLoss(request, first)
        expectThat(once.standing(request, 2_000)).isEqualTo(Standing.SUSPECT)
        expectThat(once.withLoss(request, second).standing(request, 4_000)).isEqualTo(Standing.BLAMED)
    }

    @Test
    fun `a loss that several instances report counts once`() {
        val register = CrashRegister().withLoss(request, first).withLoss(request, first.copy(atMs = 1_300))
        expectThat(register.standing(request, 2_000)).isEqualTo(Standing.SUSPECT)
    }

    @Test
    fun `a suspect that runs to its end is clear again, a blamed request is not`() {
        val once = CrashRegister().withLoss(request, first)
        expectThat(once.cleared(request).standing(request, 2_000)).isEqualTo(Standing.CLEAR)
        expectThat(once.withLoss(request, second).cleared(request).standing(request, 4_000)).isEqualTo(Standing.BLAMED)
    }

    @Test
    fun `blame and suspicion expire`() {
        val register = CrashRegister(suspectMs = 100, blameMs = 500).withLoss(request, first)
        expectThat(register.standing(request, 1_100)).isEqualTo(Standing.CLEAR)
        expectThat(register.withLoss(request, second).standing(request, 3_499)).isEqualTo(Standing.BLAMED)
        expectThat(register.withLoss(request, second).expired(3_500).losses.size).isEqualTo(0)
    }

    @Test
    fun `another organisation with the same input has another fingerprint`() {
        expectThat(Fingerprint.of(OrganisationId("b"), PipelineId("p"), "input")).isNotEqualTo(request)
        expectThat(Fingerprint.of(OrganisationId("ap"), PipelineId(""), "input")).isNotEqualTo(request)
    }

    @Test
    fun `one suspect at a time runs at an endpoint`() {
        val trials = SuspectTrials()
        val other = Fingerprint.of(OrganisationId("a"), PipelineId("p"), "other")
        expectThat(trials.begin(first.endpoint, request, lastsMs = 1_000, nowMs = 0)).isTrue()
        expectThat(trials.begin(first.endpoint, other, lastsMs = 1_000, nowMs = 999)).isFalse()
        expectThat(trials.begin(second.endpoint, other, lastsMs = 1_000, nowMs = 999)).isTrue()
        trials.end(first.endpoint, request)
        expectThat(trials.begin(first.endpoint, other, lastsMs = 1_000, nowMs = 999)).isTrue()
    }
}
