package io.oriolehall.gateway.feed

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.oriolehall.dispatch.config.CallerLimits
import io.oriolehall.dispatch.config.ServingConfig
import io.oriolehall.dispatch.endpoints.EndpointRecord
import io.oriolehall.dispatch.store.StorePosition
import io.oriolehall.model.EndpointId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.ZoneId
import io.oriolehall.runtime.Subscription
import io.oriolehall.runtime.TimerService
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** A store in memory that can be restored from a copy. Waits in virtual time. */
internal class FakeStore {
    /** An item: a configuration by its version, an endpoint by its record, or an evacuation. */
    private data class Item(val change: PublishedChange, val revision: Long)

    class Copy internal constructor(internal val items: Map<String, Any>, internal val revision: Long)

    private var items = mutableMapOf<String, Item>()
    private val history = mutableListOf<Pair<Long, PublishedChange>>()
    private var revision = 1L
    var era = 0L
        private set
    var available = true

    /** True while watches are refused although the store serves listings. */
    var refusesWatches = false
    var endpointsUnusable = false
    val version: Long get() = (items["config"]?.change as? PublishedChange.ConfigPublished)?.config?.version ?: 0
    val endpoints: List<EndpointRecord>
        get() = items.values.mapNotNull { (it.change as? PublishedChange.EndpointRegistered)?.record }

    fun putConfig(version: Long) = put("config") { PublishedChange.ConfigPublished(it, config(version), era) }

    fun put(record: EndpointRecord) = put(record.id.value) { PublishedChange.EndpointRegistered(record) }

    fun evacuate(zone: String) = put("zone $zone") { PublishedChange.ZoneEvacuated(ZoneId(zone)) }

    private fun put(key: String, change: (Long) -> PublishedChange) {
        val item = Item(change(++revision), revision)
        items[key] = item
        history += revision to item.change
    }

    fun remove(id: String) {
        if (items.remove(id) != null) history += ++revision to PublishedChange.EndpointWithdrawn(EndpointId(id))
    }

    fun copy() = Copy(items.toMap(), revision)

    /** Comes back from [copy] in the next era; watches after a revision that it does not have are refused. */
    @Suppress("UNCHECKED_CAST")
    fun restore(copy: Copy) {
        items = (copy.items as Map<String, Item>).toMutableMap()
        revision = copy.revision
        history.removeIf { it.first > copy.revision }
        era++
    }

    /** A connection to the store, which can be cut. */
    inner class Feed : PlatformFeed {
        var connected = true
        override var era = 0L
            private set
        override var calls = 0L
            private set

        private fun failure(): FeedFailure? {
            calls++
            if (!connected) return FeedFailure.Unavailable("cut")
            if (available) era = maxOf(era, this@FakeStore.era)
            return if (available) null else FeedFailure.Unavailable("down")
        }

        private fun position() = StorePosition(this@FakeStore.era, revision)

        override suspend fun operatorState(): Result<OperatorState, FeedFailure> {
            delay(1)
            failure()?.let { return Err(it) }
            val config = items["config"]?.change as? PublishedChange.ConfigPublished
            val zones = items.values.mapNotNull { (it.change as? PublishedChange.ZoneEvacuated)?.zone }
            return Ok(OperatorState(position(), config?.copy(era = this@FakeStore.era), zones))
        }

        override suspend fun endpoints(betweenPages: suspend () -> Unit): Result<EndpointListing, FeedFailure> {
            delay(1)
            failure()?.let { return Err(it) }
            if (endpointsUnusable) return Err(FeedFailure.UnusableListing("a page is repeated"))
            return Ok(EndpointListing(position(), endpoints))
        }

        override suspend fun changes(after: StorePosition, waitMs: Long): Result<FeedChanges, FeedFailure> {
            delay(1)
            var remainingMs = waitMs
            failure()?.let { return Err(it) }
            while (true) {
                if (!connected || !available) return Err(FeedFailure.Unavailable("connection lost"))
                if (refusesWatches || after.revision > revision) return Err(FeedFailure.HistoryGone("410"))
                val changes = history.filter { it.first > after.revision }.map { it.second }
                if (changes.isNotEmpty() || remainingMs <= 0) {
                    era = maxOf(era, this@FakeStore.era)
                    return Ok(FeedChanges(position(), changes))
                }
                delay(POLL_MS)
                remainingMs -= POLL_MS
            }
        }
    }

    companion object {
        private const val POLL_MS = 10L

        fun config(version: Long) = ServingConfig(version, emptyList(), emptyList(), CallerLimits(), emptyList())

        fun endpoint(id: String, draining: Boolean = false, startedAtMs: Long = 1) = EndpointRecord(
            EndpointId(id),
            startedAtMs,
            "s",
            NetworkAddress("10.0.0.1", 1),
            ZoneId("z"),
            1,
            draining,
            coldRemainingMs = 0,
        )
    }
}

/** Timers in the time of the coroutines of [scope], which [nowMs] reads. */
internal class VirtualTimers(private val scope: CoroutineScope, private val now: () -> Long) : TimerService {
    override fun nowMs() = now()

    override fun wallClockMs() = now()

    override fun every(name: String, periodMs: Long, jitter: Double, action: suspend () -> Unit): Subscription {
        val job = scope.launch {
            while (true) {
                delay(periodMs)
                action()
            }
        }
        return Subscription { job.cancel() }
    }

    override fun after(name: String, delayMs: Long, action: suspend () -> Unit): Subscription {
        val job = scope.launch {
            delay(delayMs)
            action()
        }
        return Subscription { job.cancel() }
    }
}
