package io.oriolehall.dispatch.store

import kotlinx.serialization.Serializable

/**
 * Position in the history of the platform's store. A store that is restored from an older copy begins a new era, in
 * which it uses revisions again, so that revisions can be compared within one era only.
 */
@Serializable
data class StorePosition(val era: Long, val revision: Long) : Comparable<StorePosition> {
    override fun compareTo(other: StorePosition): Int = compareValuesBy(this, other, { it.era }, { it.revision })

    override fun toString(): String = if (era == 0L) "$revision" else "$era:$revision"

    companion object {
        val START = StorePosition(0, 0)
    }
}
