package io.oriolehall.policy.quarantine

import io.oriolehall.model.EndpointId
import io.oriolehall.model.OrganisationId
import io.oriolehall.model.PipelineId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue

class CrashRegisterTest {
    private val request = Fingerprint.of(OrganisationId("a"), PipelineId("p"), "input")
    private val firstLoss = EndpointLoss(EndpointId("e1"), 1_000, request)
    private val secondLoss = EndpointLoss(EndpointId("e2"), 3_000, request)

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

    private fun lossOf(request: Int, endpoint: String, atMs: Long) =
        EndpointLoss(
            EndpointId(endpoint),
            atMs,
            Fingerprint.of(OrganisationId("a"), PipelineId("p"), "request $request"),
        )

    private fun part(name: String) = Fingerprint.ofPromptPart("s", name)

    private fun registerOf(vararg losses: Pair<Fingerprint, EndpointLoss>) =
        losses.fold(CrashRegister()) { register, (fingerprint, loss) -> register.withLoss(fingerprint, loss) }

    @Test
    fun `a part that requests share is blamed only after losses under different requests`() {
        val once = registerOf(part("x") to lossOf(1, "e1", 1_000), part("x") to lossOf(1, "e2", 2_000))
        expectThat(once.standing(part("x"), 2_000)).isEqualTo(Standing.SUSPECT)
        val twice = once.withLoss(part("x"), lossOf(2, "e3", 2_500))
        expectThat(twice.standing(part("x"), 2_500)).isEqualTo(Standing.BLAMED)
    }

    @Test
    fun `endpoints that end at the same time are no evidence against what their requests share`() {
        val register = registerOf(
            part("x") to lossOf(1, "e1", 1_000),
            part("x") to lossOf(2, "e2", 1_050),
            part("x") to lossOf(3, "e3", 1_100),
        )
        expectThat(register.standing(part("x"), 1_200)).isEqualTo(Standing.SUSPECT)
    }

    @Test
    fun `a request with only one of the parts that cannot be told apart is not refused`() {
        val register = registerOf(
            part("x") to lossOf(1, "e1", 1_000),
            part("y") to lossOf(1, "e1", 1_000),
            part("x") to lossOf(2, "e2", 2_000),
            part("y") to lossOf(2, "e2", 2_000),
        )
        expectThat(register.reasonToRefuse(listOf(part("x"), part("y")), 2_000)).isEqualTo(part("x"))
        expectThat(register.reasonToRefuse(listOf(part("y"), part("z")), 2_000)).isNull()
        val answered = register.without(part("y"))
        expectThat(answered.reasonToRefuse(listOf(part("x"), part("z")), 2_000)).isEqualTo(part("x"))
        expectThat(answered.reasonToRefuse(listOf(part("y"), part("z")), 2_000)).isNull()
    }

    @Test
    fun `answers are remembered for at least a period and at most two`() {
        val sound = SoundFingerprints(periodMs = 100)
        sound.add(request, nowMs = 1_000)
        expectThat(sound.contains(request, 1_099)).isTrue()
        expectThat(sound.contains(request, 1_150)).isTrue()
        expectThat(sound.contains(request, 1_250)).isFalse()
        sound.add(request, nowMs = 2_000)
        expectThat(sound.contains(request, 2_400)).isFalse()
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
