package io.oriolehall.policy.orders

import io.oriolehall.model.EndpointId
import io.oriolehall.model.Incarnation
import kotlinx.serialization.Serializable

/** Identifies a load: the engine, and the incarnation of the instance that orders it. */
@Serializable
data class PermitHolder(val endpoint: EndpointId, val orderer: Incarnation)

/**
 * Permits to load from a zone's weight store, managed by the one instance of the zone that owns the store. A permit
 * that is not released expires after [lifetimeMs] milliseconds, the maximum time until its load has ended. A new owner
 * grants nothing for the same time, so that all permits of the previous owner have expired.
 *
 * Not thread-safe.
 *
 * @param limit maximum number of concurrent loads from the store.
 */
class PermitRegistry(private val limit: Int, private val lifetimeMs: Long) {
    private val expiresAtMs = mutableMapOf<PermitHolder, Long>()
    private var ownerSinceMs: Long? = null

    /** Updates whether this instance owns the store, according to an up-to-date member list. */
    fun updateOwnership(isOwner: Boolean, nowMs: Long) {
        if (isOwner) {
            ownerSinceMs = ownerSinceMs ?: nowMs
        } else {
            ownerSinceMs = null
            expiresAtMs.clear()
        }
    }

    /** Grants or extends a permit for [holder]; returns false if none is available. */
    fun grant(holder: PermitHolder, nowMs: Long): Boolean {
        val since = ownerSinceMs ?: return false
        if (nowMs - since < lifetimeMs) return false
        expiresAtMs.values.removeIf { it <= nowMs }
        if (holder !in expiresAtMs && expiresAtMs.size >= limit) return false
        expiresAtMs[holder] = nowMs + lifetimeMs
        return true
    }

    /** Releases the permit of [holder], whose load has ended or will not start. */
    fun release(holder: PermitHolder) {
        expiresAtMs.remove(holder)
    }
}
