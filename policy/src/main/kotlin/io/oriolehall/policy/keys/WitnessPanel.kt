package io.oriolehall.policy.keys

import io.oriolehall.model.InstanceId
import io.oriolehall.model.WitnessRoster
import io.oriolehall.policy.hashing.Rendezvous

/**
 * The witnesses of one key and how many of them must grant it.
 *
 * Two holders would need 2 x [needed] grants from [members] names. Each name grants once, so they would have to share
 * `2 x needed - size` witnesses that granted twice. For five members that is three.
 *
 * @property members in the order in which they are asked; all claimants of a key ask the same one first.
 */
data class WitnessPanel(val members: List<InstanceId>, val needed: Int = grantsNeeded(members.size)) {
    /** The witness that decides between claimants who come at the same time. */
    val first: InstanceId get() = members.first()

    /**
     * True when [grants] to one claimant bar every other, even if one granting witness had a second process of the
     * same name that grants again.
     */
    fun bars(grants: Int): Boolean = 2 * grants > members.size

    companion object {
        /** Most witnesses of a key. */
        const val MAX_SIZE = 5

        /** Size from which one witness may be silent. */
        private const val SPARE_FROM = 5

        /** The panel of [key]: the members of [roster] that come first by rendezvous hashing. */
        fun of(key: String, roster: WitnessRoster): WitnessPanel =
            WitnessPanel(Rendezvous.ranked(key, roster.instances.distinct()).take(MAX_SIZE))

        private fun grantsNeeded(size: Int): Int = if (size >= SPARE_FROM) size - 1 else size
    }
}
