package io.oriolehall.policy.keys

import io.oriolehall.model.InstanceId
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** What a claimant does next. */
sealed interface ClaimStep {
    /** Wait for the answers of [witnesses], asking those not asked yet. */
    data class Ask(val witnesses: List<InstanceId>) : ClaimStep

    /** The claimant holds the key: no other process can. */
    data object Won : ClaimStep

    /** [holder] may hold the key; the claimant gives up its own claim. */
    data class Yield(val holder: KeyHolder) : ClaimStep

    /**
     * The claimant cannot hold the key now.
     *
     * @property barred true when no other process can hold it either, so that nothing runs once the claimant closes it.
     */
    data class Failed(val barred: Boolean) : ClaimStep
}

/** A claim to a key under way: the answers of its witnesses so far. */
data class Claim(
    val panel: WitnessPanel,
    val answers: PersistentMap<InstanceId, WitnessAnswer> = persistentMapOf(),
) {
    private val grants: Int get() = answers.values.count { it == WitnessAnswer.Granted }

    private val unanswered: List<InstanceId> get() = panel.members.filter { it !in answers }

    /** This claim with the answer of [witness]. A grant that comes after silence counts; a first answer stays. */
    fun answered(witness: InstanceId, answer: WitnessAnswer): Claim = when {
        witness !in panel.members -> this
        witness in answers && answer != WitnessAnswer.Granted -> this
        else -> copy(answers = answers.put(witness, answer))
    }

    /** What to do after the answers so far. */
    fun next(): ClaimStep {
        if (panel.members.isEmpty()) return ClaimStep.Failed(barred = false)
        val first = answers[panel.first] ?: return ClaimStep.Ask(listOf(panel.first))
        return when {
            first is WitnessAnswer.HeldBy -> ClaimStep.Yield(first.holder)
            grants >= panel.needed -> ClaimStep.Won
            grants + unanswered.size >= panel.needed -> ClaimStep.Ask(unanswered)
            else -> giveUp()
        }
    }

    private fun giveUp(): ClaimStep {
        val others = answers.values.filterIsInstance<WitnessAnswer.HeldBy>().map { it.holder }
        val likeliest = others.groupingBy { it }.eachCount().maxByOrNull { it.value }?.key
        return when {
            likeliest != null -> ClaimStep.Yield(likeliest)
            panel.bars(grants) -> ClaimStep.Failed(barred = true)
            unanswered.isNotEmpty() -> ClaimStep.Ask(unanswered)
            else -> ClaimStep.Failed(barred = false)
        }
    }
}
