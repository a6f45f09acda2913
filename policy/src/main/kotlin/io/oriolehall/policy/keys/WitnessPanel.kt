package io.oriolehall.policy.keys

import io.oriolehall.model.InstanceId
import io.oriolehall.model.WitnessRoster
import io.oriolehall.policy.hashing.Rendezvous

/**
 * The witnesses of one key and the number of grants that a claimant needs.
 *
 * Each member grants a key only once. For two claimants to become holders, at least `2 x requiredGrants - size` members
 * would have to grant it twice; with five members that is three.
 *
 * @property members the witnesses in the order in which they are asked; all claimants of a key ask the same one first.
 * @property requiredGrants number of grants that makes a claimant the holder.
 */
data class WitnessPanel(val members: List<InstanceId>, val requiredGrants: Int = requiredGrantsOf(members.size)) {
    /** The witness that is asked first and so decides between concurrent claimants. */
    val firstAsked: InstanceId get() = members.first()

    /**
     * True when [grants] to one claimant prevent any other claimant from getting enough, even if one of the granting
     * witnesses has a second process under its ID that also grants the key.
     */
    fun blocksOthers(grants: Int): Boolean = 2 * grants > members.size

    companion object {
        /** Maximum number of witnesses of a key. */
        const val MAX_SIZE = 5

        /** Smallest panel in which one witness may fail to grant. */
        private const val MIN_SIZE_WITH_SPARE = 5

        /** The panel of [key]: the highest-ranked instances of [roster] by rendezvous hashing. */
        fun of(key: String, roster: WitnessRoster): WitnessPanel =
            WitnessPanel(Rendezvous.rankedInstances(key, roster.instances.distinct()).take(MAX_SIZE))

        private fun requiredGrantsOf(size: Int): Int = if (size >= MIN_SIZE_WITH_SPARE) size - 1 else size
    }
}
