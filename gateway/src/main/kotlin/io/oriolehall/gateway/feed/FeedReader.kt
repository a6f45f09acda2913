package io.oriolehall.gateway.feed

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import io.oriolehall.dispatch.store.StorePosition
import io.oriolehall.runtime.Event
import io.oriolehall.runtime.EventLog
import io.oriolehall.runtime.TimerService
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withContext
import kotlin.random.Random

/**
 * Keeps [state] up to date: reads a full snapshot, then receives changes by watching the platform or by following
 * another instance. While the platform is unreachable, it refreshes [state] from other instances through [peers]. Runs
 * on the control thread.
 *
 * @param watchMs maximum wait of the next watch, in milliseconds. While the platform answers, the last confirmation of
 *   the configuration is never older than this.
 */
class FeedReader(
    private val feed: PlatformFeed,
    private val state: PublishedState,
    private val peers: PeerFeed,
    private val watchMs: () -> Long,
    private val pace: ReadingPace,
    private val timers: TimerService,
    private val log: EventLog,
    private val random: Random = Random.Default,
) {
    /** True while the platform answers this instance. */
    var reachable = true
        private set

    private var consecutiveFailures = 0
    private var unreachableSinceMs = 0L
    private var lastWatchAtMs = Long.MIN_VALUE / 2
    private var lastListingAtMs = Long.MIN_VALUE / 2

    /** True since the platform failed to answer; a listing that cannot be used is an answer. */
    private var silent = false

    /** Listings in succession that were read because the store refused the watch after the one before. */
    private var historyLosses = 0
    private var askedPeers = false
    private var departuresKnown = false
    private val startedAtMs = timers.nowMs()

    /** Reads and watches the platform until cancelled. After an unexpected error, reads everything again. */
    suspend fun run() {
        while (true) {
            try {
                readUntilFault()
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                log.write(Event.FEED_FAILED, "error" to e.stackTraceToString())
                delay(MAX_BACKOFF_MS)
            }
        }
    }

    private suspend fun readUntilFault() {
        var snapshotNeeded = true
        while (true) {
            if (!snapshotNeeded && reachable && peers.follow()) continue
            if (!snapshotNeeded) learnDepartures()
            if (state.listingDue || isBehindEra()) snapshotNeeded = true
            val failure = if (snapshotNeeded) readSnapshot() else watch()
            state.learnEra(feed.era, PublishedState.PLATFORM)
            if (failure == null) {
                snapshotNeeded = false
                continue
            }
            if (!snapshotNeeded && needsSnapshot(failure)) {
                log.write(Event.FEED_HISTORY_GONE, "after" to state.asOf, "error" to failure.message)
                snapshotNeeded = true
                delay(listingPauseMs())
                continue
            }
            recordFailure(failure)
            if (peers.refresh(state)) log.write(Event.FEED_READ_FROM_PEER, "asOf" to state.asOf)
            delay(if (failure is FeedFailure.UnusableListing) UNUSABLE_LISTING_RETRY_MS else backoffMs())
        }
    }

    /**
     * The store may show an endpoint as ready that has announced its end to the instances that were running then. An
     * instance that starts asks others, until one has answered.
     */
    private suspend fun learnDepartures() {
        if (departuresKnown) return
        departuresKnown = peers.learnDepartures(state) || timers.nowMs() - startedAtMs >= DEPARTURES_LIMIT_MS
    }

    private fun needsSnapshot(failure: FeedFailure) =
        failure is FeedFailure.HistoryGone || failure is FeedFailure.TooLong || failure is FeedFailure.Restored

    private fun isBehindEra() = state.asOf?.let { it.era < state.era } ?: false

    /** A store that refuses every watch gets its listings at intervals, because they cost many calls. */
    private fun listingPauseMs(): Long {
        val losses = historyLosses++
        if (losses == 0) return 0
        return minOf(UNUSABLE_LISTING_RETRY_MS, FIRST_LISTING_PAUSE_MS shl minOf(losses, MAX_DOUBLINGS))
    }

    /**
     * Reads everything. The configuration is read first, and again at intervals while the endpoints are listed, so that
     * it depends neither on the length of that listing nor on its success.
     */
    private suspend fun readSnapshot(): FeedFailure? {
        delay(lastListingAtMs + pace.minIntervalMs - timers.nowMs())
        lastListingAtMs = timers.nowMs()
        val storeUninterrupted = reachable
        val first = readOperator()
        if (first.isErr) return first.error
        var operator = first.value
        var operatorReadAtMs = timers.nowMs()
        val control = currentCoroutineContext().minusKey(Job)
        val listing = feed.endpoints {
            withContext(control) {
                if (timers.nowMs() - operatorReadAtMs >= pace.maxWaitMs) {
                    val again = readOperator()
                    if (again.isOk) operator = again.value
                    operatorReadAtMs = timers.nowMs()
                }
            }
        }
        if (listing.isErr) return listing.error
        if (listing.value.asOf.era != operator.asOf.era || listing.value.asOf.era < state.era) {
            return FeedFailure.Restored("the store was restored while it was listed")
        }
        recordSuccess()
        state.replaceEndpoints(listing.value, operator, storeUninterrupted)
        return null
    }

    private suspend fun readOperator(): Result<OperatorState, FeedFailure> {
        val sentAt = state.now()
        val answer = feed.operatorState()
        if (answer.isErr) return answer
        val operator = answer.value
        state.learnEra(operator.asOf.era, PublishedState.PLATFORM)
        if (operator.asOf.era < state.era) {
            return Err(FeedFailure.Unavailable("the answer is of era ${operator.asOf.era}, before ${state.era}"))
        }
        state.recordPlatformAnswer(interrupted = silent)
        silent = false
        if (state.asOf == null && state.era > 0) askPeers()
        state.applyOperator(operator, sentAt)
        return answer
    }

    /** An instance that starts after a restore asks others for what the copy may lack, before it uses the copy. */
    private suspend fun askPeers() {
        if (askedPeers) return
        askedPeers = true
        val untilMs = timers.nowMs() + MAX_PEER_QUESTION_MS
        while (!peers.refresh(state) && timers.nowMs() < untilMs) delay(PEER_QUESTION_RETRY_MS)
    }

    private suspend fun watch(): FeedFailure? {
        delay(lastWatchAtMs + pace.minIntervalMs - timers.nowMs())
        lastWatchAtMs = timers.nowMs()
        val sentAt = state.now()
        val after = state.asOf ?: StorePosition.START
        val answer = unlessEraRises(after.era) { feed.changes(after, state.watchMs(watchMs())) }
        state.learnEra(feed.era, PublishedState.PLATFORM)
        if (answer == null || state.era > after.era) return FeedFailure.Restored("the store is in era ${state.era}")
        if (answer.isErr) return answer.error
        historyLosses = 0
        recordSuccess()
        state.apply(answer.value, sentAt)
        return null
    }

    /** Returns null, and ends [call], as soon as an era after [era] is known, for example from another instance. */
    private suspend fun <T : Any> unlessEraRises(era: Long, call: suspend () -> T): T? = coroutineScope {
        val answer = async { call() }
        val rise = async { state.awaitEraAfter(era) }
        select {
            answer.onAwait { it }
            rise.onAwait { null }
        }.also {
            answer.cancelAndJoin()
            rise.cancelAndJoin()
        }
    }

    private fun recordSuccess() {
        consecutiveFailures = 0
        state.recordPlatformAnswer(interrupted = silent)
        silent = false
        if (reachable) return
        reachable = true
        state.onStoreRecovered()
        log.write(Event.PLATFORM_REACHED, "afterMs" to timers.nowMs() - unreachableSinceMs, "asOf" to state.asOf)
    }

    private fun recordFailure(failure: FeedFailure) {
        consecutiveFailures++
        if (failure !is FeedFailure.UnusableListing) silent = true
        if (failure is FeedFailure.UnusableListing) {
            log.write(Event.FEED_LISTING_UNUSABLE, "error" to failure.message, "retryMs" to UNUSABLE_LISTING_RETRY_MS)
        }
        if (!reachable) return
        reachable = false
        unreachableSinceMs = timers.nowMs()
        log.write(Event.PLATFORM_UNREACHABLE, "error" to failure.message)
    }

    private fun backoffMs(): Long {
        val base = minOf(MAX_BACKOFF_MS, FIRST_BACKOFF_MS shl minOf(consecutiveFailures, MAX_DOUBLINGS))
        return base / 2 + random.nextLong(base)
    }

    private companion object {
        const val FIRST_BACKOFF_MS = 50L
        const val MAX_BACKOFF_MS = 400L
        const val MAX_DOUBLINGS = 4

        /** A listing costs many calls, and it stays unusable until items are removed. */
        const val UNUSABLE_LISTING_RETRY_MS = 2_000L
        const val FIRST_LISTING_PAUSE_MS = 250L

        /** Departures of before the start are no longer contradicted by the store after this time. */
        const val DEPARTURES_LIMIT_MS = 10_000L

        /** Time for the first contacts with other instances after a start. */
        const val MAX_PEER_QUESTION_MS = 1_000L
        const val PEER_QUESTION_RETRY_MS = 50L
    }
}

/** Provides the platform's published state through other instances. */
fun interface PeerFeed {
    /** Updates [state] from a reachable instance that has a newer one. Returns true if a snapshot was applied. */
    suspend fun refresh(state: PublishedState): Boolean

    /**
     * Takes over from other instances which endpoints drain or have left. Returns true once one of them has answered.
     */
    suspend fun learnDepartures(state: PublishedState): Boolean = true

    /**
     * Receives the next changes from another instance that reads the platform. Returns false if this instance has to
     * read the platform itself.
     */
    suspend fun follow(): Boolean = false
}
