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
    private val firstLoss = EndpointLoss(EndpointId("e1"), 1_000)
    private val secondLoss = EndpointLoss(EndpointId("e2"), 3_000)

    @Test
    fun `one lost endpoint makes a suspect and the second one a blamed request`() {
        val suspect = CrashRegister().withLoss(request, firstLoss)
        expectThat(suspect.standing(request, 2_000)).isEqualTo(Standing.SUSPECT)
        expectThat(suspect.withLoss(request, secondLoss).standing(request, 4_000)).isEqualTo(Standing.BLAMED)
    }

    @Test
    fun `a loss that several instances report counts once`() {
        val register = CrashRegister().withLoss(request, firstLoss).withLoss(request, firstLoss.copy(atMs = 1_300))
        expectThat(register.standing(request, 2_000)).isEqualTo(Standing.SUSPECT)
    }

    @Test
    fun `a suspect that runs to its end is clear again, a blamed request is not`() {
        val suspect = CrashRegister().withLoss(request, firstLoss)
        expectThat(suspect.withoutSuspect(request).standing(request, 2_000)).isEqualTo(Standing.CLEAR)
        expectThat(
            suspect.withLoss(request, secondLoss).withoutSuspect(request).standing(request, 4_000),
        ).isEqualTo(Standing.BLAMED)
    }

    @Test
    fun `blame and suspicion expire`() {
        val register = CrashRegister(suspectMs = 100, blameMs = 500).withLoss(request, firstLoss)
        expectThat(register.standing(request, 1_100)).isEqualTo(Standing.CLEAR)
        expectThat(register.withLoss(request, secondLoss).standing(request, 3_499)).isEqualTo(Standing.BLAMED)
        expectThat(register.withLoss(request, secondLoss).withoutExpired(3_500).losses.size).isEqualTo(0)
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
        expectThat(trials.begin(firstLoss.endpoint, request, timeoutMs = 1_000, nowMs = 0)).isTrue()
        expectThat(trials.begin(firstLoss.endpoint, other, timeoutMs = 1_000, nowMs = 999)).isFalse()
        expectThat(trials.begin(secondLoss.endpoint, other, timeoutMs = 1_000, nowMs = 999)).isTrue()
        trials.end(firstLoss.endpoint, request)
        expectThat(trials.begin(firstLoss.endpoint, other, timeoutMs = 1_000, nowMs = 999)).isTrue()
    }
}
