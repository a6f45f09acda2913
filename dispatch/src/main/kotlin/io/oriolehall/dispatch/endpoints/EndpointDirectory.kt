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
 * Maintains the endpoint directory from the registrations in the platform's store.
 *
 * Registrations that are lost around an outage of the store are kept for [reRegistrationGraceMs] after it recovers,
 * because a live endpoint registers again within that time. A listing of a restored copy undoes nothing: an incarnation
 * that drains or has been withdrawn stays so, and an earlier incarnation does not replace a later one.
 *
 * The store may apply a write some seconds after the endpoint sent it, and after later ones. Writes of one incarnation
 * are ordered by their sequence numbers. An entry of an earlier incarnation, or of one that has just been withdrawn,
 * takes effect only if it outlasts [registrationLifetimeMs]: if nobody writes it again, the store has removed it then.
 * An endpoint that was withdrawn while its zone could not be reached has been cut off from the store, and is used as
 * soon as it registers again.
 *
 * All times are monotonic milliseconds. Not thread-safe; [snapshot] is immutable.
 */
class EndpointDirectory(
    private val reRegistrationGraceMs: Long = DEFAULT_RE_REGISTRATION_GRACE_MS,
    private val registrationLifetimeMs: Long = DEFAULT_REGISTRATION_LIFETIME_MS,
    private val isUnreachable: (ZoneId) -> Boolean = { false },
) {
    private class Deferral(val record: EndpointRecord, val untilMs: Long)

    private val removalTimesMs = mutableMapOf<EndpointId, Long>()
    private val withdrawals = Withdrawals()
    private val deferrals = mutableMapOf<EndpointId, Deferral>()
    private var graceEndsAtMs = Long.MIN_VALUE

    /** True while an entry is deferred. */
    val hasDeferred: Boolean get() = deferrals.isNotEmpty()

    var snapshot = EndpointSnapshot()
        private set

    /** Incarnations whose registrations have been removed recently while the store was available. */
    fun withdrawn(nowMs: Long): List<WithdrawnEndpoint> = withdrawals.all(nowMs)

    /** Starts the grace period for registrations after the store has recovered from an outage. */
    fun onStoreRecovered(nowMs: Long) {
        graceEndsAtMs = nowMs + reRegistrationGraceMs
    }

    /** Applies [record], an entry that the store shows, unless it was or may have been written before what is known. */
    fun register(record: EndpointRecord, nowMs: Long): RegistrationResult {
        val known = snapshot.endpoints[record.id]
        return when {
            known != null && record.wasWrittenBefore(known) -> RegistrationResult.OUTDATED

            withdrawals.supersede(record) -> RegistrationResult.OUTDATED

            isDoubtful(record, known, nowMs) -> {
                val untilMs = deferrals[record.id]?.untilMs ?: (nowMs + registrationLifetimeMs + LAPSE_MARGIN_MS)
                deferrals[record.id] = Deferral(record, untilMs)
                RegistrationResult.DEFERRED
            }

            else -> {
                put(record, nowMs)
                RegistrationResult.REGISTERED
            }
        }
    }

    private fun isDoubtful(record: EndpointRecord, known: EndpointRecord?, nowMs: Long): Boolean {
        val ofEarlierIncarnation = known != null && record.sequence != null && record.startedAtMs < known.startedAtMs
        return ofEarlierIncarnation || withdrawals.maySupersede(record, nowMs)
    }

    private fun put(record: EndpointRecord, nowMs: Long) {
        val known = snapshot.endpoints[record.id]
        if (known != null && known.startedAtMs < record.startedAtMs) withdrawals.add(known, nowMs, cutOff = false)
        removalTimesMs.remove(record.id)
        deferrals.remove(record.id)
        withdrawals.remove(record.incarnation)
        snapshot = snapshot.copy(endpoints = snapshot.endpoints.put(record.id, record))
    }

    /** Registers the deferred entries that have outlasted the lifetime of one that nobody writes again. */
    fun registerDeferred(nowMs: Long): List<EndpointRecord> {
        val due = deferrals.values.filter { it.untilMs <= nowMs }.map(Deferral::record)
        due.forEach { put(it, nowMs) }
        return due
    }

    /**
     * Handles the removal of the registration of [id] from the store. [storeUninterrupted] is true when the store was
     * available throughout, so that the removal is not a result of an outage.
     */
    fun withdraw(id: EndpointId, nowMs: Long, storeUninterrupted: Boolean) {
        deferrals.remove(id)
        val registered = snapshot.endpoints[id] ?: return
        val mayRegisterAgain = !storeUninterrupted || nowMs < graceEndsAtMs
        if (mayRegisterAgain && !registered.draining) {
            removalTimesMs.putIfAbsent(id, maxOf(graceEndsAtMs, nowMs))
            return
        }
        withdrawals.add(registered, nowMs, cutOff = isUnreachable(registered.zone))
        remove(id)
    }

    /** Removes the endpoint [id], whose entry another writer has replaced; it may register again at any time. */
    fun discard(id: EndpointId) {
        deferrals.remove(id)
        remove(id)
    }

    /** Milliseconds until endpoints are removed that have to register again. */
    fun lapsing(nowMs: Long): Map<EndpointId, Long> = removalTimesMs.mapValues { maxOf(0, it.value - nowMs) }

    /** Takes over from another instance that [id] has to register again within [remainingMs]. */
    fun addLapsing(id: EndpointId, remainingMs: Long, nowMs: Long) {
        if (id in snapshot.endpoints) removalTimesMs.putIfAbsent(id, nowMs + remainingMs)
    }

    /** Notes that the incarnations of [withdrawn] have been withdrawn, as another instance knows. */
    fun addWithdrawn(withdrawn: Collection<WithdrawnEndpoint>, nowMs: Long) =
        withdrawn.filter { snapshot.endpoints[it.id]?.incarnation != it.incarnation }
            .forEach { withdrawals.add(it, nowMs) }

    /**
     * Takes over from another instance, whose state may be older in other respects, that the endpoints of [draining]
     * drain and that those of [withdrawn] have left, where this is later than what is known here.
     */
    fun addDepartures(
        draining: Collection<EndpointRecord>,
        withdrawn: Collection<WithdrawnEndpoint>,
        nowMs: Long,
    ) {
        draining.filter { snapshot.endpoints[it.id]?.wasWrittenBefore(it) == true }.forEach { put(it, nowMs) }
        addWithdrawn(withdrawn, nowMs)
        for (departure in withdrawn.filter(::isNews)) {
            withdrawals.add(departure, nowMs)
            remove(departure.id)
        }
    }

    /** True if [departure] followed all writes of an endpoint that is registered here. */
    private fun isNews(departure: WithdrawnEndpoint): Boolean {
        val known = snapshot.endpoints[departure.id]?.takeIf { it.incarnation == departure.incarnation }
        val written = known?.sequence ?: return false
        return departure.sequence != null && written <= departure.sequence
    }

    /** Removes endpoints whose grace period for registering again is over. Returns their ids. */
    fun expire(nowMs: Long): List<EndpointId> {
        withdrawals.removeOlderThan(RestorePeriod.MAX_COPY_AGE_MS, nowMs)
        val expired = removalTimesMs.filterValues { it <= nowMs }.keys.toList()
        expired.forEach(::remove)
        return expired
    }

    /**
     * Replaces the directory by [records], all registrations in the store; endpoints that are not among them are
     * withdrawn. Returns the endpoints whose entry does not take effect, or not yet.
     */
    fun replaceAll(records: Collection<EndpointRecord>, nowMs: Long, storeUninterrupted: Boolean): List<EndpointId> {
        val held = records.filter { register(it, nowMs) != RegistrationResult.REGISTERED }.map(EndpointRecord::id)
        val present = records.mapTo(mutableSetOf(), EndpointRecord::id)
        val missing = (snapshot.endpoints.keys + deferrals.keys).filter { it !in present }
        missing.forEach { withdraw(it, nowMs, storeUninterrupted) }
        return held
    }

    /**
     * Applies [records], all registrations in a restored copy, without undoing what is newer. Endpoints that are not
     * among them are kept until they have had time to register again. Returns the endpoints whose entry is older than
     * what is kept.
     */
    fun mergeCopy(records: Collection<EndpointRecord>, nowMs: Long): List<EndpointId> {
        val (outdated, current) = records.partition(::isOutdated)
        current.forEach { put(it, nowMs) }
        val kept = outdated.filter { snapshot.endpoints[it.id]?.incarnation == it.incarnation }
        kept.forEach { removalTimesMs.remove(it.id) }
        val present = (current + kept).mapTo(mutableSetOf(), EndpointRecord::id)
        deferrals.keys.retainAll(present)
        snapshot.endpoints.keys.filter { it !in present }.forEach { withdraw(it, nowMs, storeUninterrupted = false) }
        return outdated.map(EndpointRecord::id)
    }

    private fun isOutdated(record: EndpointRecord): Boolean {
        val known = snapshot.endpoints[record.id] ?: return record.incarnation in withdrawals
        return record.startedAtMs < known.startedAtMs || record.wasWrittenBefore(known) ||
            (record.startedAtMs == known.startedAtMs && known.draining && !record.draining)
    }

    fun setEvacuated(zones: Collection<ZoneId>) {
        snapshot = snapshot.copy(evacuated = persistentSetOf<ZoneId>().addAll(zones))
    }

    private fun remove(id: EndpointId) {
        removalTimesMs.remove(id)
        snapshot = snapshot.copy(endpoints = snapshot.endpoints.remove(id))
    }

    companion object {
        /** Bound set by the operators: a live endpoint registers again within two seconds after the store recovers. */
        private const val DEFAULT_RE_REGISTRATION_GRACE_MS = 2_000L

        /** Three heartbeat intervals of 1.2 s. */
        const val DEFAULT_REGISTRATION_LIFETIME_MS = 3_600L

        /** Time in which the removal of an entry reaches this instance. */
        private const val LAPSE_MARGIN_MS = 500L
    }
}
