package io.oriolehall.gateway.feed

import io.oriolehall.dispatch.config.ClockReading
import io.oriolehall.dispatch.config.ConfigHolder
import io.oriolehall.dispatch.config.ConfigStamp
import io.oriolehall.dispatch.config.ServingConfig
import io.oriolehall.dispatch.endpoints.EndpointDirectory
import io.oriolehall.dispatch.endpoints.EndpointRecord
import io.oriolehall.dispatch.endpoints.EndpointSnapshot
import io.oriolehall.dispatch.endpoints.EvacuatedZones
import io.oriolehall.dispatch.endpoints.RegistrationResult
import io.oriolehall.dispatch.store.RestorePeriod
import io.oriolehall.dispatch.store.StorePosition
import io.oriolehall.gateway.feed.PublishedChange.ConfigPublished
import io.oriolehall.gateway.feed.PublishedChange.EndpointRegistered
import io.oriolehall.gateway.feed.PublishedChange.EndpointWithdrawn
import io.oriolehall.gateway.feed.PublishedChange.Unreadable
import io.oriolehall.gateway.feed.PublishedChange.ZoneEvacuated
import io.oriolehall.gateway.feed.PublishedChange.ZoneRestored
import io.oriolehall.model.EndpointId
import io.oriolehall.model.ZoneId
import io.oriolehall.runtime.Event
import io.oriolehall.runtime.EventLog
import io.oriolehall.runtime.TimerService
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first

/**
 * This instance's copy of the published state: the configuration in force, the endpoints and the evacuated zones. It is
 * changed on the control thread only; [configHolder], [endpoints] and [era] may be read by any thread.
 *
 * The configuration is ordered by its own version, everything else by the position in the store. After a restore of the
 * store, the copy undoes nothing until its writers have had time to write again (see [RestorePeriod]).
 */
class PublishedState(
    private val timers: TimerService,
    private val log: EventLog,
    private val directory: EndpointDirectory = EndpointDirectory(),
) {
    private val evacuations = EvacuatedZones()
    private val restore = RestorePeriod()
    private val mutableEra = MutableStateFlow(0L)
    private var ignoredConfig: ConfigStamp? = null

    val configHolder = ConfigHolder()

    /** Recent changes to this state, for the instances that follow this one. */
    val journal = ChangeJournal()

    @Volatile
    var endpoints = EndpointSnapshot()
        private set

    /** Position up to which changes have been applied; null before the first snapshot. */
    var asOf: StorePosition? = null
        private set

    /** The position before the first change that holds a deferred entry; null if no entry is deferred. */
    private var deferredAfter: StorePosition? = null

    /**
     * Position up to which the state that others get is complete. They have to receive a deferred entry from the store,
     * which does not report it again.
     */
    val sharedAsOf: StorePosition? get() = deferredAfter ?: asOf

    /** Newest known era of the store, which may be later than that of [asOf]. */
    val era: Long get() = mutableEra.value

    /** Milliseconds since the store came back in the current era; negative if it has not answered this instance. */
    val eraAgeMs: Long get() = restore.ageMs(timers.nowMs())

    /** True when a complete listing is needed, because the time for writing again after a restore is over. */
    val listingDue: Boolean get() = restore.listingDue(timers.nowMs())

    /** Monotonic time in milliseconds at which the platform last answered this instance; null if it has not yet. */
    var platformAnsweredAtMs: Long? = null
        private set

    /** True once a snapshot with a configuration has been applied. */
    val complete: Boolean get() = asOf != null && configHolder.current != null

    /**
     * Records that the platform has just answered a read of its current era. [interrupted] is true if it had not
     * answered before.
     */
    fun recordPlatformAnswer(interrupted: Boolean = false) {
        val nowMs = timers.nowMs()
        platformAnsweredAtMs = nowMs
        val firstOfEra = era > 0 && restore.ageMs(nowMs) < 0
        restore.onStoreAnswer(nowMs, interrupted)
        if (firstOfEra) directory.onStoreRecovered(nowMs)
    }

    /** Records that the store is in [newEra], as [source] has told. */
    fun learnEra(newEra: Long, source: String) {
        val nowMs = timers.nowMs()
        val before = era
        if (!restore.learn(newEra, nowMs, hasState = asOf != null)) return
        mutableEra.value = newEra
        if (asOf == null) return
        directory.onStoreRecovered(nowMs)
        log.write(Event.STORE_RESTORED, "before" to before, "era" to newEra, "asOf" to asOf, "source" to source)
    }

    /** Takes over from another instance that the store came back in [ofEra] [ageMs] milliseconds ago. */
    fun adoptEraAge(ofEra: Long, ageMs: Long) {
        if (ofEra == era) restore.adoptAge(ageMs, timers.nowMs())
    }

    /** Waits until an era after [known] is known. */
    suspend fun awaitEraAfter(known: Long) {
        mutableEra.first { it > known }
    }

    /** The wait of the next watch in milliseconds: [defaultMs], or less so that a limit of a restore is met. */
    fun watchMs(defaultMs: Long): Long =
        restore.nextLimitInMs(timers.nowMs())?.let { minOf(it, defaultMs) } ?: defaultMs

    fun now() = ClockReading(timers.nowMs(), timers.wallClockMs())

    /**
     * Replaces the state by [snapshot], unless the state is newer; the configuration of an older one is used if its
     * version is newer. Returns true if the state was replaced. [readAt] is when the read was sent.
     *
     * @param storeUninterrupted true if the store has been available without interruption since the last update.
     */
    fun replace(snapshot: FeedSnapshot, readAt: ClockReading, storeUninterrupted: Boolean, source: String): Boolean {
        learnEra(snapshot.era, source)
        val config = snapshot.config
        if (config != null) {
            activateConfig(ConfigPublished(snapshot.configRevision, config, snapshot.configEra), readAt, source)
        }
        val position = snapshot.position
        if (asOf != null && (position.era < era || asOf.orStart() > position)) {
            learnDepartures(snapshot)
            return false
        }
        replaceAll(snapshot.endpoints, snapshot.evacuated, position, storeUninterrupted)
        directory.addWithdrawn(snapshot.withdrawn, timers.nowMs())
        evacuations.addEnded(snapshot.restored, timers.nowMs())
        snapshot.lapsing.forEach { directory.addLapsing(it.id, it.remainingMs, timers.nowMs()) }
        if (position.era < era) restore.protect()
        return true
    }

    /** Takes over which endpoints drain or have left; the numbers of their writes show what is newer in any state. */
    private fun learnDepartures(snapshot: FeedSnapshot) {
        val draining = snapshot.endpoints.filter(EndpointRecord::draining)
        directory.addDepartures(draining, snapshot.withdrawn, timers.nowMs())
        publish()
    }

    /** Applies [operator], the result of a read that was sent at [sentAt]. It need not come with the endpoints. */
    fun applyOperator(operator: OperatorState, sentAt: ClockReading) {
        val config = operator.config
        if (config != null) {
            if (isWrittenAgain(config)) restore.onConfigWritten()
            val mayConfirm = restore.mayConfirmConfig(sentAt.ms)
            activateConfig(config, sentAt.takeIf { mayConfirm }, PLATFORM)
        }
        if (era > 0 && config != null) confirmConfig(sentAt)
        if (asOf == null || asOf.orStart() > operator.asOf) return
        replaceEvacuations(operator.evacuated, isCopy = restore.protecting && !listingDue)
        publish()
    }

    /** Replaces the endpoints by [listing], and the evacuated zones by those of [operator], unless they are older. */
    fun replaceEndpoints(listing: EndpointListing, operator: OperatorState, storeUninterrupted: Boolean) {
        val position = minOf(listing.asOf, operator.asOf)
        if (asOf.orStart() > position) {
            // A store that shows less than before within an era would otherwise be listed without a pause.
            if (listingDue) restore.endProtection()
            return
        }
        replaceAll(listing.endpoints, operator.evacuated, position, storeUninterrupted)
    }

    private fun replaceAll(
        records: List<EndpointRecord>,
        evacuated: List<ZoneId>,
        position: StorePosition,
        storeUninterrupted: Boolean,
    ) {
        val nowMs = timers.nowMs()
        val isCopy = restore.protecting && !restore.listingDue(nowMs)
        replaceEvacuations(evacuated, isCopy)
        if (isCopy) {
            val outdated = directory.mergeCopy(records, nowMs)
            if (outdated.isNotEmpty()) log.write(Event.LOST_CHANGE_KEPT, "endpoints" to outdated)
        } else {
            val held = directory.replaceAll(records, nowMs, storeUninterrupted || restore.protecting)
            if (held.isNotEmpty()) log.write(Event.REGISTRATION_NOT_APPLIED, "endpoints" to held)
            if (restore.protecting) log.write(Event.STORE_RESTORE_ENDED, "era" to era, "asOf" to position)
            restore.endProtection()
        }
        advanceTo(position)
        publish()
    }

    private fun advanceTo(position: StorePosition) {
        deferredAfter = if (directory.hasDeferred) sharedAsOf.orStart() else null
        asOf = position
    }

    private fun replaceEvacuations(listed: List<ZoneId>, isCopy: Boolean) {
        val nowMs = timers.nowMs()
        if (!isCopy) {
            evacuations.replaceAll(listed, nowMs)
            return
        }
        val kept = evacuations.addFromCopy(listed, nowMs)
        if (kept.isNotEmpty()) log.write(Event.LOST_CHANGE_KEPT, "evacuations" to kept)
    }

    /** Applies [update], the result of a watch that was sent at [sentAt]. */
    fun apply(update: FeedChanges, sentAt: ClockReading) {
        if (update.asOf.era < era) return
        update.changes.forEach { applyChange(it, sentAt, PLATFORM) }
        advanceTo(maxOf(asOf.orStart(), update.asOf))
        if (era == 0L) configHolder.current?.let { configHolder.confirm(it.stamp, sentAt) } else confirmConfig(sentAt)
        publish()
    }

    /**
     * Applies changes up to [position] from an instance that this one follows. They are already in force there: for a
     * withdrawn endpoint, that instance has already waited for it to register again.
     */
    fun applyFollowed(changes: List<PublishedChange>, position: StorePosition, at: ClockReading, source: String) {
        for (change in changes) {
            if (change is ConfigPublished) activateConfig(change, at, source) else applyChange(change, at, source)
        }
        advanceTo(maxOf(asOf.orStart(), position))
        publish()
    }

    /**
     * Confirms the configuration in force by a read or watch of the current era that showed no newer one. It may show
     * an older one: then the newer one is lost, and its writer has had time to write a still newer one.
     */
    private fun confirmConfig(sentAt: ClockReading) {
        if (!restore.mayConfirmConfig(sentAt.ms)) return
        configHolder.current?.let { configHolder.confirm(it.stamp, sentAt) }
        restore.onConfigConfirmed()
    }

    /**
     * True if the operator must have written [config] after the restore: its item has a revision at which this instance
     * knows that it was not written before. Such a write states the operator's newest version.
     */
    private fun isWrittenAgain(config: ConfigPublished): Boolean {
        val known = configHolder.current?.stamp ?: return false
        val position = asOf ?: return false
        if (config.era == 0L || known.position.era != position.era ||
            config.config.version < known.version
        ) {
            return false
        }
        return when (position.era) {
            config.era -> config.revision > known.position.revision
            config.era - 1 -> config.revision > known.position.revision && config.revision <= position.revision
            else -> false // A copy may hold what was written again in an era that this instance has missed.
        }
    }

    private fun applyChange(change: PublishedChange, sentAt: ClockReading, source: String) = when (change) {
        is ConfigPublished -> applyConfigWrite(change, sentAt, source)
        is EndpointRegistered -> register(change)
        is EndpointWithdrawn -> withdraw(change.id)
        is ZoneEvacuated -> setEvacuated(change.zone, true)
        is ZoneRestored -> setEvacuated(change.zone, false)
        is Unreadable -> ignore(change)
    }

    /** The entry of an endpoint that another writer has replaced names no endpoint any more. */
    private fun ignore(change: Unreadable) {
        log.write(Event.PUBLISHED_ITEM_UNREADABLE, "key" to change.key, "error" to change.reason)
        val id = change.endpoint ?: return
        if (id in directory.snapshot.endpoints) log.write(Event.ENDPOINT_WITHDRAWN, "endpoint" to id)
        directory.discard(id)
    }

    private fun StorePosition?.orStart(): StorePosition = this ?: StorePosition.START

    /** A change of the configuration in the current era is a write of the operator, not part of a restored copy. */
    private fun applyConfigWrite(change: ConfigPublished, at: ClockReading, source: String) {
        val version = configHolder.current?.stamp?.version
        if (change.era == era && (version == null || change.config.version >= version)) restore.onConfigWritten()
        activateConfig(change, at, source)
    }

    private fun activateConfig(change: ConfigPublished, at: ClockReading?, source: String) {
        val config = change.config
        val before = configHolder.current?.stamp?.version
        val stamp = ConfigStamp(config.version, change.position)
        val changed = configHolder.activateIfNewer(config, change.position, at)
        if (source == PLATFORM && before != null && config.version < before && stamp != ignoredConfig) {
            ignoredConfig = stamp
            log.write(
                Event.OLDER_CONFIG_IGNORED,
                "version" to config.version,
                "inForce" to before,
                "asOf" to change.position,
            )
        }
        if (!changed) return
        journal.add(listOf(change))
        log.write(
            Event.CONFIG_IN_FORCE,
            "version" to config.version,
            "revision" to change.position,
            "source" to source,
            "routes" to config.routes.size,
        )
    }

    private fun register(change: EndpointRegistered) {
        val record = change.record
        val old = directory.snapshot.endpoints[record.id]
        val result = directory.register(record, timers.nowMs())
        if (result != RegistrationResult.REGISTERED) {
            log.write(
                Event.REGISTRATION_NOT_APPLIED,
                "endpoints" to listOf(record.id),
                "sequence" to record.sequence,
                "known" to old?.sequence,
                "result" to result.name.lowercase(),
            )
            return
        }
        if (old == null || old.startedAtMs != record.startedAtMs || old.draining != record.draining) {
            log.write(
                if (record.draining) Event.ENDPOINT_DRAINING else Event.ENDPOINT_REGISTERED,
                "endpoint" to record.id,
                "service" to record.service,
                "zone" to record.zone,
                "coldMs" to record.coldRemainingMs,
            )
        }
    }

    private fun withdraw(id: EndpointId) {
        directory.withdraw(id, timers.nowMs(), storeUninterrupted = true)
        log.write(Event.ENDPOINT_WITHDRAWN, "endpoint" to id)
    }

    private fun setEvacuated(zone: ZoneId, on: Boolean) {
        evacuations.set(zone, on, timers.nowMs())
        log.write(if (on) Event.ZONE_EVACUATED else Event.ZONE_RESTORED, "zone" to zone)
    }

    fun onStoreRecovered() = directory.onStoreRecovered(timers.nowMs())

    /** Applies what was put off: endpoints that have not registered again, and evacuations that a copy shows. */
    fun expire() {
        val nowMs = timers.nowMs()
        val expired = directory.expire(nowMs)
        expired.forEach { log.write(Event.ENDPOINT_WITHDRAWN, "endpoint" to it, "cause" to "lapsed") }
        val evacuated = evacuations.applyDue(nowMs)
        evacuated.forEach { log.write(Event.ZONE_EVACUATED, "zone" to it) }
        val registered = directory.registerDeferred(nowMs)
        registered.forEach { log.write(Event.ENDPOINT_REGISTERED, "endpoint" to it.id, "cause" to "deferred") }
        if (!directory.hasDeferred) deferredAfter = null
        if (expired.isNotEmpty() || evacuated.isNotEmpty() || registered.isNotEmpty()) publish()
    }

    /** Returns the complete state for another instance, or null if it is not complete yet. */
    fun snapshot(): FeedSnapshot? {
        val confirmed = configHolder.current ?: return null
        val position = sharedAsOf ?: return null
        return FeedSnapshot(
            asOf = position.revision,
            configRevision = confirmed.revision,
            config = confirmed.table.config,
            endpoints = directory.snapshot.endpoints.values.toList(),
            evacuated = evacuations.zones.toList(),
            era = position.era,
            configEra = confirmed.stamp.position.era,
            withdrawn = directory.withdrawn(timers.nowMs()),
            lapsing = if (position.era > 0) lapsing() else emptyList(),
            restored = if (position.era > 0) evacuations.ended.toList() else emptyList(),
        )
    }

    private fun lapsing() = directory.lapsing(timers.nowMs()).map { (id, remainingMs) ->
        LapsingEndpoint(id, remainingMs)
    }

    private fun publish() {
        val before = endpoints
        directory.setEvacuated(evacuations.zones)
        endpoints = directory.snapshot
        val changes = changesBetween(before, endpoints)
        if (changes.isNotEmpty()) journal.add(changes)
    }

    private fun changesBetween(before: EndpointSnapshot, after: EndpointSnapshot): List<PublishedChange> {
        if (before == after) return emptyList()
        val registrations = after.endpoints.values.filterNot { it.sameContentAs(before.endpoints[it.id]) }
            .map(::EndpointRegistered)
        val withdrawals = before.endpoints.keys.filter { it !in after.endpoints }.map(::EndpointWithdrawn)
        val evacuations = (after.evacuated - before.evacuated).map(::ZoneEvacuated)
        val restorations = (before.evacuated - after.evacuated).map(::ZoneRestored)
        return registrations + withdrawals + evacuations + restorations
    }

    companion object {
        /** Source of what was read at the platform's store itself, in log lines. */
        const val PLATFORM = "platform"
    }
}
