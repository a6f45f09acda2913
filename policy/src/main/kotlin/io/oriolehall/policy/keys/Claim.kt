package io.oriolehall.policy.keys

import io.oriolehall.model.InstanceId
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** The next action of a process that claims a key. */
sealed interface ClaimStep {
    /** Wait for the answers of [witnesses]; send the claim to those that have not received it yet. */
    data class Ask(val witnesses: List<InstanceId>) : ClaimStep

    /** The claimant holds the key, and no other process can hold it. */
    data object Acquired : ClaimStep

    /** [holder] may hold the key, so the claimant withdraws its own claim. */
    data class Withdraw(val holder: KeyHolder) : ClaimStep

    /**
     * The claimant did not get enough grants to hold the key.
     *
     * @property othersBlocked true when no other process can hold the key either, so that the request can no longer run
     *   anywhere once the claimant closes the key.
     */
    data class Failed(val othersBlocked: Boolean) : ClaimStep
}

/** A claim to a key that is in progress, with the answers that its witnesses have given so far. */
data class Claim(
    val panel: WitnessPanel,
    val answers: PersistentMap<InstanceId, WitnessAnswer> = persistentMapOf(),
) {
    private val grants: Int get() = answers.values.count { it == WitnessAnswer.Granted }

    private val unanswered: List<InstanceId> get() = panel.members.filter { it !in answers }

    /**
     * Returns this claim with the answer of [witness]. The first answer of a witness is final, except that a later
     * grant replaces it, such as one that arrives after the witness was recorded as [WitnessAnswer.Silent].
     */
    fun withAnswer(witness: InstanceId, answer: WitnessAnswer): Claim = when {
        witness !in panel.members -> this
        witness in answers && answer != WitnessAnswer.Granted -> this
        else -> copy(answers = answers.put(witness, answer))
    }

    /** Returns the step that follows from the answers received so far. */
    fun nextStep(): ClaimStep {
        if (panel.members.isEmpty()) return ClaimStep.Failed(othersBlocked = false)
        val firstAnswer = answers[panel.firstAsked] ?: return ClaimStep.Ask(listOf(panel.firstAsked))
        return when {
            firstAnswer is WitnessAnswer.HeldBy -> ClaimStep.Withdraw(firstAnswer.holder)
            grants >= panel.requiredGrants -> ClaimStep.Acquired
            grants + unanswered.size >= panel.requiredGrants -> ClaimStep.Ask(unanswered)
            else -> stepWithoutEnoughGrants()
        }
    }

    private fun stepWithoutEnoughGrants(): ClaimStep {
        val reportedHolders = answers.values.filterIsInstance<WitnessAnswer.HeldBy>().map { it.holder }
        val mostReportedHolder = reportedHolders.groupingBy { it }.eachCount().maxByOrNull { it.value }?.key
        return when {
            mostReportedHolder != null -> ClaimStep.Withdraw(mostReportedHolder)
            panel.blocksOthers(grants) -> ClaimStep.Failed(othersBlocked = true)
            unanswered.isNotEmpty() -> ClaimStep.Ask(unanswered)
            else -> ClaimStep.Failed(othersBlocked = false)
        }
    }
}
