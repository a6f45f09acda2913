package io.oriolehall.gateway.feed

import io.oriolehall.runtime.Event
import io.oriolehall.runtime.EventLog
import io.oriolehall.runtime.TimerService
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
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
            val failure = if (snapshotNeeded) readSnapshot() else watch()
            if (failure == null) {
                snapshotNeeded = false
                continue
            }
            val changesUnavailable = failure is FeedFailure.HistoryGone || failure is FeedFailure.TooLong
            if (changesUnavailable && !snapshotNeeded) {
                log.write(Event.FEED_HISTORY_GONE, "after" to state.asOf, "error" to failure.message)
                snapshotNeeded = true
                continue
            }
            recordFailure(failure)
            if (peers.refresh(state)) log.write(Event.FEED_READ_FROM_PEER, "asOf" to state.asOf)
            delay(if (failure is FeedFailure.UnusableListing) UNUSABLE_LISTING_RETRY_MS else backoffMs())
        }
    }

    private suspend fun readSnapshot(): FeedFailure? {
        val sentAt = state.now()
        val storeUninterrupted = reachable
        val answer = feed.snapshot()
        if (answer.isErr) return answer.error
        recordSuccess()
        state.replace(answer.value, sentAt, storeUninterrupted, "platform")
        return null
    }

    private suspend fun watch(): FeedFailure? {
        delay(lastWatchAtMs + pace.minIntervalMs - timers.nowMs())
        lastWatchAtMs = timers.nowMs()
        val sentAt = state.now()
        val answer = feed.changes(state.asOf ?: 0, watchMs())
        if (answer.isErr) return answer.error
        recordSuccess()
        state.apply(answer.value, sentAt)
        return null
    }

    private fun recordSuccess() {
        consecutiveFailures = 0
        state.recordPlatformAnswer()
        if (reachable) return
        reachable = true
        state.onStoreRecovered()
        log.write(Event.PLATFORM_REACHED, "afterMs" to timers.nowMs() - unreachableSinceMs, "asOf" to state.asOf)
    }

    private fun recordFailure(failure: FeedFailure) {
        consecutiveFailures++
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
    }
}

/** Provides the platform's published state through other instances. */
fun interface PeerFeed {
    /** Updates [state] from a reachable instance that has a newer one. Returns true if a snapshot was applied. */
    suspend fun refresh(state: PublishedState): Boolean

    /**
     * Receives the next changes from another instance that reads the platform. Returns false if this instance has to
     * read the platform itself.
     */
    suspend fun follow(): Boolean = false
}
