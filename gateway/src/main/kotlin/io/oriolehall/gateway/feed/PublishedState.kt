package io.oriolehall.gateway.feed

import io.oriolehall.dispatch.config.ConfigTrust
import io.oriolehall.dispatch.config.Moment
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
 * The configuration in force, the endpoints and the evacuated zones, as this instance knows them. Changes belong to the
 * control thread; [trust] and [endpoints] may be read by any thread.
 */
class PublishedState(private val timers: TimerService, private val log: EventLog) {
    private val directory = EndpointDirectory()
    private val evacuated = mutableSetOf<ZoneId>()

    val trust = ConfigTrust()

    /** What has changed here, for the instances that follow this one. */
    val journal = ChangeJournal()

    @Volatile
    var endpoints = EndpointSnapshot()
        private set

    /** Revision up to which changes have been taken in; null before the first snapshot. */
    var asOf: Long? = null
        private set

    /** When the platform last answered this instance, monotonic milliseconds; null before it has. */
    var heardAtMs: Long? = null
        private set

    /** True once everything has been read. */
    val complete: Boolean get() = asOf != null && trust.current != null

    /** Notes that the platform has just answered. */
    fun noteHeard() {
        heardAtMs = timers.nowMs()
    }

    fun now() = Moment(timers.nowMs(), timers.wallClockMs())

    /**
     * Takes in everything as of [readAt], when the read was sent.
     *
     * @param orderly true when the store served all the while since the last news.
     */
    fun replace(snapshot: FeedSnapshot, readAt: Moment, orderly: Boolean, source: String) {
        if ((asOf ?: -1) > snapshot.asOf) return
        val config = snapshot.config
        if (config != null) offer(config, snapshot.configRevision, readAt, source)
        directory.replaceAll(snapshot.endpoints, timers.nowMs(), orderly)
        evacuated.clear()
        evacuated += snapshot.evacuated
        asOf = snapshot.asOf
        publish()
    }

    /** Takes in [news] of a watch that was sent at [sentAt]. */
    fun apply(news: FeedChanges, sentAt: Moment) {
        news.changes.forEach { applyOne(it, sentAt, "platform") }
        asOf = maxOf(asOf ?: 0, news.asOf)
        trust.current?.let { trust.confirm(it.revision, sentAt) }
        publish()
    }

    /**
     * Takes in the changes of an instance that this one follows, up to [revision]. They are in force there: an
     * endpoint that is withdrawn has been waited for already.
     */
    fun applyFollowed(changes: List<PublishedChange>, revision: Long, at: Moment, source: String) {
        changes.forEach { applyOne(it, at, source) }
        asOf = maxOf(asOf ?: 0, revision)
        publish()
    }

    private fun applyOne(change: PublishedChange, sentAt: Moment, source: String) = when (change) {
        is ConfigPublished -> offer(change.config, change.revision, sentAt, source)
        is EndpointRegistered -> register(change)
        is EndpointWithdrawn -> withdraw(change.id)
        is ZoneEvacuated -> setEvacuated(change.zone, true)
        is ZoneRestored -> setEvacuated(change.zone, false)
        is Unreadable -> log.write(Event.PUBLISHED_ITEM_UNREADABLE, "key" to change.key, "error" to change.reason)
    }

    private fun offer(config: ServingConfig, revision: Long, at: Moment, source: String) {
        if (!trust.offer(config, revision, at)) return
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
        if (old == null || old.bornAtMs != record.bornAtMs || old.draining != record.draining) {
            log.write(
                if (record.draining) Event.ENDPOINT_DRAINING else Event.ENDPOINT_REGISTERED,
                "endpoint" to record.id,
                "service" to record.service,
                "zone" to record.zone,
                "coldMs" to record.coldForMs,
            )
        }
    }

    private fun withdraw(id: EndpointId) {
        directory.withdraw(id, timers.nowMs(), orderly = true)
        log.write(Event.ENDPOINT_WITHDRAWN, "endpoint" to id)
    }

    private fun setEvacuated(zone: ZoneId, on: Boolean) {
        if (on) evacuated += zone else evacuated -= zone
        log.write(if (on) Event.ZONE_EVACUATED else Event.ZONE_RESTORED, "zone" to zone)
    }

    fun storeReturned() = directory.storeReturned(timers.nowMs())

    /** Drops entries whose time to register again is over. */
    fun expire() {
        val gone = directory.expire(timers.nowMs())
        if (gone.isEmpty()) return
        gone.forEach { log.write(Event.ENDPOINT_WITHDRAWN, "endpoint" to it, "cause" to "lapsed") }
        publish()
    }

    /** Everything, for another instance that cannot read the platform. */
    fun snapshot(): FeedSnapshot? {
        val trusted = trust.current ?: return null
        return FeedSnapshot(
            asOf = asOf ?: return null,
            configRevision = trusted.revision,
            config = trusted.table.config,
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
        val written = after.endpoints.values.filter { before.endpoints[it.id] != it }.map(::EndpointRegistered)
        val removed = before.endpoints.keys.filter { it !in after.endpoints }.map(::EndpointWithdrawn)
        val evacuations = (after.evacuated - before.evacuated).map(::ZoneEvacuated)
        val restorations = (before.evacuated - after.evacuated).map(::ZoneRestored)
        return written + removed + evacuations + restorations
    }
}
