package io.oriolehall.dispatch.endpoints

import io.oriolehall.dispatch.store.RestorePeriod
import io.oriolehall.model.EndpointId
import io.oriolehall.model.ZoneId
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/**
 * Immutable view of the registered endpoints, read by request threads.
 *
 * @property evacuated zones whose endpoints receive no new work.
 */
data class EndpointSnapshot(
    val endpoints: PersistentMap<EndpointId, EndpointRecord> = persistentMapOf(),
    val evacuated: PersistentSet<ZoneId> = persistentSetOf(),
) {
    /** Computed on first use, because most snapshots are intermediate states of an update. */
    private val endpointsByService: Map<String, List<EndpointRecord>> by lazy(LazyThreadSafetyMode.PUBLICATION) {
        endpoints.values.filter { !it.draining && it.zone !in evacuated }.groupBy(EndpointRecord::service)
    }

    /** Endpoints of [service] that may receive new work. */
    fun usable(service: String): List<EndpointRecord> = endpointsByService[service].orEmpty()

    /** Why this incarnation of [endpoint] may not receive new work, or null. */
    fun obstacleFor(endpoint: EndpointRecord): SendObstacle? {
        val registered = endpoints[endpoint.id]
        return when {
            registered?.startedAtMs != endpoint.startedAtMs -> SendObstacle.NOT_REGISTERED
            registered.draining -> SendObstacle.DRAINING
            registered.zone in evacuated -> SendObstacle.ZONE_EVACUATED
            else -> null
        }
    }
}

/**
 * Maintains the endpoint directory from the registrations in the platform's store. Registrations that are lost around
 * an outage of the store are kept for [reRegistrationGraceMs] after it recovers, because a live endpoint registers
 * again within that time. A listing of a restored copy undoes nothing: an incarnation that drains or has been withdrawn
 * stays so, and an earlier incarnation does not replace a later one.
 *
 * All times are monotonic milliseconds. Not thread-safe; [snapshot] is immutable.
 */
class EndpointDirectory(private val reRegistrationGraceMs: Long = DEFAULT_RE_REGISTRATION_GRACE_MS) {
    private val removalTimesMs = mutableMapOf<EndpointId, Long>()
    private val withdrawnAtMs = mutableMapOf<EndpointIncarnation, Long>()
    private var graceEndsAtMs = Long.MIN_VALUE

    /** Incarnations whose registrations have been removed recently while the store was available. */
    val withdrawn: Set<EndpointIncarnation> get() = withdrawnAtMs.keys

    var snapshot = EndpointSnapshot()
        private set

    /** Starts the grace period for registrations after the store has recovered from an outage. */
    fun onStoreRecovered(nowMs: Long) {
        graceEndsAtMs = nowMs + reRegistrationGraceMs
    }

    fun register(record: EndpointRecord) {
        removalTimesMs.remove(record.id)
        withdrawnAtMs.remove(record.incarnation)
        snapshot = snapshot.copy(endpoints = snapshot.endpoints.put(record.id, record))
    }

    /**
     * Handles the removal of the registration of [id] from the store. [storeUninterrupted] is true when the store was
     * available throughout, so that the removal is not a result of an outage.
     */
    fun withdraw(id: EndpointId, nowMs: Long, storeUninterrupted: Boolean) {
        val registered = snapshot.endpoints[id] ?: return
        val mayRegisterAgain = !storeUninterrupted || nowMs < graceEndsAtMs
        if (mayRegisterAgain && !registered.draining) {
            removalTimesMs.putIfAbsent(id, maxOf(graceEndsAtMs, nowMs))
            return
        }
        withdrawnAtMs[registered.incarnation] = nowMs
        remove(id)
    }

    /** Milliseconds until endpoints are removed that have to register again. */
    fun lapsing(nowMs: Long): Map<EndpointId, Long> = removalTimesMs.mapValues { maxOf(0, it.value - nowMs) }

    /** Takes over from another instance that [id] has to register again within [remainingMs]. */
    fun addLapsing(id: EndpointId, remainingMs: Long, nowMs: Long) {
        if (id in snapshot.endpoints) removalTimesMs.putIfAbsent(id, nowMs + remainingMs)
    }

    /** Notes that [incarnations] have been withdrawn, as another instance knows. */
    fun addWithdrawn(incarnations: Collection<EndpointIncarnation>, nowMs: Long) =
        incarnations.filter { snapshot.endpoints[it.id]?.incarnation != it }
            .forEach { withdrawnAtMs.putIfAbsent(it, nowMs) }

    /** Removes endpoints whose grace period for registering again is over. Returns their ids. */
    fun expire(nowMs: Long): List<EndpointId> {
        withdrawnAtMs.values.removeIf { nowMs - it > RestorePeriod.MAX_COPY_AGE_MS }
        val expired = removalTimesMs.filterValues { it <= nowMs }.keys.toList()
        expired.forEach(::remove)
        return expired
    }

    /**
     * Replaces the directory by [records], all registrations in the store; endpoints that are not among them are
     * withdrawn.
     */
    fun replaceAll(records: Collection<EndpointRecord>, nowMs: Long, storeUninterrupted: Boolean) {
        records.forEach(::register)
        val present = records.mapTo(mutableSetOf(), EndpointRecord::id)
        snapshot.endpoints.keys.filter { it !in present }.forEach { withdraw(it, nowMs, storeUninterrupted) }
    }

    /**
     * Applies [records], all registrations in a restored copy, without undoing what is newer. Endpoints that are not
     * among them are kept until they have had time to register again. Returns the endpoints whose entry is older than
     * what is kept.
     */
    fun mergeCopy(records: Collection<EndpointRecord>, nowMs: Long): List<EndpointId> {
        val (outdated, current) = records.partition(::isOutdated)
        current.forEach(::register)
        val draining = outdated.filter { snapshot.endpoints[it.id]?.incarnation == it.incarnation }
        draining.forEach { removalTimesMs.remove(it.id) }
        val present = (current + draining).mapTo(mutableSetOf(), EndpointRecord::id)
        snapshot.endpoints.keys.filter { it !in present }.forEach { withdraw(it, nowMs, storeUninterrupted = false) }
        return outdated.map(EndpointRecord::id)
    }

    private fun isOutdated(record: EndpointRecord): Boolean {
        val known = snapshot.endpoints[record.id] ?: return record.incarnation in withdrawnAtMs
        return record.startedAtMs < known.startedAtMs ||
            (record.startedAtMs == known.startedAtMs && known.draining && !record.draining)
    }

    fun setEvacuated(zones: Collection<ZoneId>) {
        snapshot = snapshot.copy(evacuated = persistentSetOf<ZoneId>().addAll(zones))
    }

    private fun remove(id: EndpointId) {
        removalTimesMs.remove(id)
        snapshot = snapshot.copy(endpoints = snapshot.endpoints.remove(id))
    }

    private companion object {
        /** Bound set by the operators: a live endpoint registers again within two seconds after the store recovers. */
        const val DEFAULT_RE_REGISTRATION_GRACE_MS = 2_000L
    }
}
