package io.oriolehall.dispatch.endpoints

import io.oriolehall.model.EndpointId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * An incarnation whose registration has been removed from the store, as one instance passes it to another.
 *
 * @property sequence number of its last write that is known; null if there is none.
 * @property agoMs time since the removal, milliseconds.
 * @property cutOff true if its zone could not be reached at the time.
 */
@Serializable
data class WithdrawnEndpoint(
    val id: EndpointId,
    @SerialName("bornAtMs") val startedAtMs: Long,
    @SerialName("seq") val sequence: Long? = null,
    val agoMs: Long = 0,
    val cutOff: Boolean = false,
) {
    val incarnation: EndpointIncarnation get() = EndpointIncarnation(id, startedAtMs)
}

/**
 * The incarnations whose registrations have been removed recently. They show whether an entry that appears afterwards
 * was written before the removal.
 *
 * All times are monotonic milliseconds. Not thread-safe.
 */
internal class Withdrawals {
    private class Removal(val atMs: Long, val sequence: Long?, val cutOff: Boolean)

    private val removals = HashMap<EndpointIncarnation, Removal>()

    operator fun contains(incarnation: EndpointIncarnation): Boolean = incarnation in removals

    /** Adds the incarnation of [record]. [cutOff] is true if its zone cannot be reached. */
    fun add(record: EndpointRecord, nowMs: Long, cutOff: Boolean) {
        removals[record.incarnation] = Removal(nowMs, record.sequence, cutOff)
    }

    /** Adds [withdrawn], which another instance knows. */
    fun add(withdrawn: WithdrawnEndpoint, nowMs: Long) {
        val removal = Removal(nowMs - withdrawn.agoMs, withdrawn.sequence, withdrawn.cutOff)
        removals.putIfAbsent(withdrawn.incarnation, removal)
    }

    fun remove(incarnation: EndpointIncarnation) {
        removals.remove(incarnation)
    }

    fun removeOlderThan(maxAgeMs: Long, nowMs: Long) {
        removals.values.removeIf { nowMs - it.atMs > maxAgeMs }
    }

    /** True if [record] is known to have been written before its incarnation was withdrawn. */
    fun supersede(record: EndpointRecord): Boolean {
        val last = removals[record.incarnation]?.sequence ?: return false
        return record.sequence != null && record.sequence <= last
    }

    /**
     * True if [record] may have been written before its incarnation was withdrawn, and reached the store later. A write
     * from a zone that is cut off does not reach the store at all.
     */
    fun maySupersede(record: EndpointRecord, nowMs: Long): Boolean {
        val removal = removals[record.incarnation] ?: return false
        return !removal.cutOff && record.sequence != null && nowMs - removal.atMs <= MAX_WRITE_DELAY_MS
    }

    fun all(nowMs: Long): List<WithdrawnEndpoint> = removals.map { (incarnation, removal) ->
        val agoMs = nowMs - removal.atMs
        WithdrawnEndpoint(incarnation.id, incarnation.startedAtMs, removal.sequence, agoMs, removal.cutOff)
    }

    private companion object {
        /** Longest time for which the store delays a write, stated by the operators. */
        const val MAX_WRITE_DELAY_MS = 6_000L
    }
}
