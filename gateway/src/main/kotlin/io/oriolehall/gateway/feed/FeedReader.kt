package io.oriolehall.gateway.feed

import io.oriolehall.dispatch.config.Moment
import io.oriolehall.runtime.Event
import io.oriolehall.runtime.EventLog
import io.oriolehall.runtime.TimerService
import kotlinx.coroutines.delay
import kotlin.random.Random

/**
 * Keeps [state] up to date: reads everything once, then watches, itself or through an instance that it follows. When
 * the platform does not answer, it asks other instances through [peers] until it does. Runs on the control thread.
 *
 * @param watchMs longest wait of the next watch, milliseconds; a confirmation of the configuration is never older than
 *   this while the platform answers.
 */
class FeedReader(
    private val feed: PlatformFeed,
    private val state: PublishedState,
    private val peers: PeerFeed,
    private val watchMs: () -> Long,
    private val timers: TimerService,
    private val log: EventLog,
    private val random: Random = Random.Default,
) {
    /** True while the platform answers. */
    var reachable = true
        private set

    private var failures = 0
    private var lostAtMs = 0L

    /** Reads and watches until it is cancelled. */
    suspend fun run() {
        var snapshotNeeded = true
        while (true) {
            if (!snapshotNeeded && reachable && peers.follow()) continue
            val sentAt = state.now()
            val failure = if (snapshotNeeded) readAll(sentAt) else watch(sentAt)
            if (failure == null) {
                if (snapshotNeeded) snapshotNeeded = false
                continue
            }
            if (failure is FeedFailure.HistoryGone) {
                log.write(Event.FEED_HISTORY_GONE, "after" to state.asOf, "error" to failure.message)
                snapshotNeeded = true
                continue
            }
            noteLost(failure)
            if (peers.refresh(state)) log.write(Event.FEED_READ_FROM_PEER, "asOf" to state.asOf)
            delay(backoffMs())
        }
    }

    private suspend fun readAll(sentAt: Moment): FeedFailure? {
        val orderly = reachable
        val answer = feed.snapshot()
        if (answer.isErr) return answer.error
        noteReached()
        state.replace(answer.value, sentAt, orderly, "platform")
        return null
    }

    private suspend fun watch(sentAt: Moment): FeedFailure? {
        val answer = feed.changes(state.asOf ?: 0, watchMs())
        if (answer.isErr) return answer.error
        noteReached()
        state.apply(answer.value, sentAt)
        return null
    }

    private fun noteReached() {
        failures = 0
        state.noteHeard()
        if (reachable) return
        reachable = true
        state.storeReturned()
        log.write(Event.PLATFORM_REACHED, "afterMs" to timers.nowMs() - lostAtMs, "asOf" to state.asOf)
    }

    private fun noteLost(failure: FeedFailure) {
        failures++
        if (!reachable) return
        reachable = false
        lostAtMs = timers.nowMs()
        log.write(Event.PLATFORM_UNREACHABLE, "error" to failure.message)
    }

    private fun backoffMs(): Long {
        val base = minOf(MAX_BACKOFF_MS, FIRST_BACKOFF_MS shl minOf(failures, MAX_DOUBLINGS))
        return base / 2 + random.nextLong(base)
    }

    private companion object {
        const val FIRST_BACKOFF_MS = 50L
        const val MAX_BACKOFF_MS = 400L
        const val MAX_DOUBLINGS = 4
    }
}

/** Other instances as a source of what the platform publishes. */
fun interface PeerFeed {
    /** Takes in what a reachable instance knows, if that is newer. Returns true when something was taken. */
    suspend fun refresh(state: PublishedState): Boolean

    /**
     * Follows another instance that reads the platform for this one. False when this instance has to read it itself.
     */
    suspend fun follow(): Boolean = false
}
