package io.oriolehall.dispatch.endpoints

import io.oriolehall.model.EndpointId
import io.oriolehall.model.ZoneId
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/**
 * The endpoints that may be used, as traffic reads them.
 *
 * @property evacuated zones whose endpoints get nothing new.
 */
data class EndpointSnapshot(
    val endpoints: PersistentMap<EndpointId, EndpointRecord> = persistentMapOf(),
    val evacuated: PersistentSet<ZoneId> = persistentSetOf(),
) {
    private val byService: Map<String, List<EndpointRecord>> = endpoints.values
        .filter { !it.draining && it.zone !in evacuated }
        .groupBy(EndpointRecord::service)

    /** Endpoints of [service] that may get new work. */
    fun usable(service: String): List<EndpointRecord> = byService[service].orEmpty()

    /** True when [endpoint] is still registered, not draining and not in an evacuated zone. */
    fun isUsable(endpoint: EndpointRecord): Boolean {
        val known = endpoints[endpoint.id] ?: return false
        return known.bornAtMs == endpoint.bornAtMs && !known.draining && known.zone !in evacuated
    }
}

/**
 * Keeps the directory from what the store publishes. Entries that lapse around an outage of the store are kept for
 * [lapseGraceMs] after its return, because an endpoint that lives registers again within that time.
 *
 * All times are monotonic milliseconds. Not safe for use by several threads; [snapshot] is immutable.
 */
class EndpointDirectory(private val lapseGraceMs: Long = DEFAULT_LAPSE_GRACE_MS) {
    private val lapsing = mutableMapOf<EndpointId, Long>()
    private var graceUntilMs = Long.MIN_VALUE

    var snapshot = EndpointSnapshot()
        private set

    /** The store answers again after an outage. */
    fun storeReturned(nowMs: Long) {
        graceUntilMs = nowMs + lapseGraceMs
    }

    fun register(record: EndpointRecord) {
        lapsing.remove(record.id)
        snapshot = snapshot.copy(endpoints = snapshot.endpoints.put(record.id, record))
    }

    /** The entry of [id] is gone. [orderly] is true when the store was serving all the while. */
    fun withdraw(id: EndpointId, nowMs: Long, orderly: Boolean) {
        val known = snapshot.endpoints[id] ?: return
        val lapsed = !orderly || nowMs < graceUntilMs
        if (lapsed && !known.draining) {
            lapsing.putIfAbsent(id, maxOf(graceUntilMs, nowMs))
            return
        }
        remove(id)
    }

    /** Removes entries whose time to register again is over. Returns their names. */
    fun expire(nowMs: Long): List<EndpointId> {
        val gone = lapsing.filterValues { it <= nowMs }.keys.toList()
        gone.forEach(::remove)
        return gone
    }

    /** All entries of the store at one moment: what is not among them has gone. */
    fun replaceAll(records: Collection<EndpointRecord>, nowMs: Long, orderly: Boolean) {
        records.forEach(::register)
        val present = records.mapTo(mutableSetOf(), EndpointRecord::id)
        snapshot.endpoints.keys.filter { it !in present }.forEach { withdraw(it, nowMs, orderly) }
    }

    fun setEvacuated(zones: Collection<ZoneId>) {
        snapshot = snapshot.copy(evacuated = persistentSetOf<ZoneId>().addAll(zones))
    }

    private fun remove(id: EndpointId) {
        lapsing.remove(id)
        snapshot = snapshot.copy(endpoints = snapshot.endpoints.remove(id))
    }

    private companion object {
        /** The operators' bound: a live endpoint is registered again two seconds after the store's return. */
        const val DEFAULT_LAPSE_GRACE_MS = 2_000L
    }
}
