package io.oriolehall.gateway.feed

import io.oriolehall.dispatch.config.ClockReading
import io.oriolehall.dispatch.config.ConfigHolder
import io.oriolehall.dispatch.config.ServingConfig
import io.oriolehall.dispatch.endpoints.EndpointDirectory
import io.oriolehall.dispatch.endpoints.EndpointSnapshot
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

/**
 * This instance's copy of the published state: the configuration in force, the endpoints and the evacuated zones. It is
 * changed on the control thread only; [configHolder] and [endpoints] may be read by any thread.
 */
class PublishedState(private val timers: TimerService, private val log: EventLog) {
    private val directory = EndpointDirectory()
    private val evacuated = mutableSetOf<ZoneId>()

    val configHolder = ConfigHolder()

    /** Recent changes to this state, for the instances that follow this one. */
    val journal = ChangeJournal()

    @Volatile
    var endpoints = EndpointSnapshot()
        private set

    /** Revision up to which changes have been applied; null before the first snapshot. */
    var asOf: Long? = null
        private set

    /** Monotonic time in milliseconds at which the platform last answered this instance; null if it has not yet. */
    var platformAnsweredAtMs: Long? = null
        private set

    /** True once a snapshot with a configuration has been applied. */
    val complete: Boolean get() = asOf != null && configHolder.current != null

    /** Records that the platform has just answered this instance. */
    fun recordPlatformAnswer() {
        platformAnsweredAtMs = timers.nowMs()
    }

    fun now() = ClockReading(timers.nowMs(), timers.wallClockMs())

    /**
     * Replaces the state by [snapshot], unless the state is newer. [readAt] is when the read was sent.
     *
     * @param storeUninterrupted true if the store has been available without interruption since the last update.
     */
    fun replace(snapshot: FeedSnapshot, readAt: ClockReading, storeUninterrupted: Boolean, source: String) {
        if ((asOf ?: -1) > snapshot.asOf) return
        val config = snapshot.config
        if (config != null) activateConfig(config, snapshot.configRevision, readAt, source)
        directory.replaceAll(snapshot.endpoints, timers.nowMs(), storeUninterrupted)
        evacuated.clear()
        evacuated += snapshot.evacuated
        asOf = snapshot.asOf
        publish()
    }

    /** Applies [update], the result of a watch that was sent at [sentAt]. */
    fun apply(update: FeedChanges, sentAt: ClockReading) {
        update.changes.forEach { applyChange(it, sentAt, "platform") }
        asOf = maxOf(asOf ?: 0, update.asOf)
        configHolder.current?.let { configHolder.confirm(it.revision, sentAt) }
        publish()
    }

    /**
     * Applies changes up to [revision] from an instance that this one follows. They are already in force there: for a
     * withdrawn endpoint, that instance has already waited for it to register again.
     */
    fun applyFollowed(changes: List<PublishedChange>, revision: Long, at: ClockReading, source: String) {
        changes.forEach { applyChange(it, at, source) }
        asOf = maxOf(asOf ?: 0, revision)
        publish()
    }

    private fun applyChange(change: PublishedChange, sentAt: ClockReading, source: String) = when (change) {
        is ConfigPublished -> activateConfig(change.config, change.revision, sentAt, source)
        is EndpointRegistered -> register(change)
        is EndpointWithdrawn -> withdraw(change.id)
        is ZoneEvacuated -> setEvacuated(change.zone, true)
        is ZoneRestored -> setEvacuated(change.zone, false)
        is Unreadable -> ignore(change)
    }

    /** The entry of an endpoint that another writer has replaced names no endpoint any more. */
    private fun ignore(change: Unreadable) {
        log.write(Event.PUBLISHED_ITEM_UNREADABLE, "key" to change.key, "error" to change.reason)
        change.endpoint?.takeIf { it in directory.snapshot.endpoints }?.let(::withdraw)
    }

    private fun activateConfig(config: ServingConfig, revision: Long, at: ClockReading, source: String) {
        if (!configHolder.activateIfNewer(config, revision, at)) return
        journal.add(listOf(ConfigPublished(revision, config)))
        log.write(
            Event.CONFIG_IN_FORCE,
            "version" to config.version,
            "revision" to revision,
            "source" to source,
            "routes" to config.routes.size,
        )
    }

    private fun register(change: EndpointRegistered) {
        val record = change.record
        val old = directory.snapshot.endpoints[record.id]
        directory.register(record)
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
        if (on) evacuated += zone else evacuated -= zone
        log.write(if (on) Event.ZONE_EVACUATED else Event.ZONE_RESTORED, "zone" to zone)
    }

    fun onStoreRecovered() = directory.onStoreRecovered(timers.nowMs())

    /** Removes lapsed endpoints that have not registered again within their grace period. */
    fun expire() {
        val expired = directory.expire(timers.nowMs())
        if (expired.isEmpty()) return
        expired.forEach { log.write(Event.ENDPOINT_WITHDRAWN, "endpoint" to it, "cause" to "lapsed") }
        publish()
    }

    /** Returns the complete state for another instance, or null if it is not complete yet. */
    fun snapshot(): FeedSnapshot? {
        val confirmed = configHolder.current ?: return null
        return FeedSnapshot(
            asOf = asOf ?: return null,
            configRevision = confirmed.revision,
            config = confirmed.table.config,
            endpoints = directory.snapshot.endpoints.values.toList(),
            evacuated = evacuated.toList(),
        )
    }

    private fun publish() {
        val before = endpoints
        directory.setEvacuated(evacuated)
        endpoints = directory.snapshot
        val changes = changesBetween(before, endpoints)
        if (changes.isNotEmpty()) journal.add(changes)
    }

    private fun changesBetween(before: EndpointSnapshot, after: EndpointSnapshot): List<PublishedChange> {
        if (before == after) return emptyList()
        val registrations = after.endpoints.values.filter { before.endpoints[it.id] != it }.map(::EndpointRegistered)
        val withdrawals = before.endpoints.keys.filter { it !in after.endpoints }.map(::EndpointWithdrawn)
        val evacuations = (after.evacuated - before.evacuated).map(::ZoneEvacuated)
        val restorations = (before.evacuated - after.evacuated).map(::ZoneRestored)
        return registrations + withdrawals + evacuations + restorations
    }
}
