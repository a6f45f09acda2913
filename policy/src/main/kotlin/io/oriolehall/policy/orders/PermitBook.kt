package io.oriolehall.policy.orders

import io.oriolehall.model.EndpointId
import io.oriolehall.model.Incarnation
import kotlinx.serialization.Serializable

/** One load: the engine and the process that orders it. */
@Serializable
data class PermitHolder(val endpoint: EndpointId, val orderer: Incarnation)

/**
 * Permits to load from a zone's weight store, kept by the one instance of the zone that owns it. A permit that is not
 * given back lasts [lastsMs] milliseconds, the longest time until its load has ended. A new owner grants nothing for
 * as long, so that the permits of the former one have ended.
 *
 * Not safe for use by several threads.
 *
 * @param limit loads at once that the store may have from the zone.
 */
class PermitBook(private val limit: Int, private val lastsMs: Long) {
    private val endsAtMs = mutableMapOf<PermitHolder, Long>()
    private var owningSinceMs: Long? = null

    /** Notes whether this instance owns the store now, by a fresh view. */
    fun observe(owning: Boolean, nowMs: Long) {
        if (owning) {
            owningSinceMs = owningSinceMs ?: nowMs
        } else {
            owningSinceMs = null
            endsAtMs.clear()
        }
    }

    /** Grants [holder] a permit if there is one. */
    fun grant(holder: PermitHolder, nowMs: Long): Boolean {
        val since = owningSinceMs ?: return false
        if (nowMs - since < lastsMs) return false
        endsAtMs.values.removeIf { it <= nowMs }
        if (holder !in endsAtMs && endsAtMs.size >= limit) return false
        endsAtMs[holder] = nowMs + lastsMs
        return true
    }

    /** Takes back the permit of [holder], whose load has ended or will not begin. */
    fun release(holder: PermitHolder) {
        endsAtMs.remove(holder)
    }
}
