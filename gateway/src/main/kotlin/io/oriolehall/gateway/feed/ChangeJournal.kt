package io.oriolehall.gateway.feed

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull

/**
 * The newest changes of an instance's published state, numbered, for the instances that follow it. A follower that has
 * fallen out of the kept range takes everything instead. Used on the control thread only.
 */
class ChangeJournal(private val kept: Int = DEFAULT_KEPT) {
    private val changes = ArrayDeque<PublishedChange>()
    private val mutablePosition = MutableStateFlow(0L)

    /** Number of changes so far. */
    val position: Long get() = mutablePosition.value

    fun add(news: List<PublishedChange>) {
        changes += news
        while (changes.size > kept) changes.removeFirst()
        mutablePosition.value += news.size
    }

    /** The changes after [from], or null when they are no longer all kept. */
    fun after(from: Long): List<PublishedChange>? {
        val missing = position - from
        if (missing < 0 || missing > changes.size) return null
        return changes.takeLast(missing.toInt())
    }

    /** Waits at most [waitMs] milliseconds for a change after [from]. */
    suspend fun awaitAfter(from: Long, waitMs: Long) {
        withTimeoutOrNull(waitMs) { mutablePosition.first { it > from } }
    }

    private companion object {
        /** Covers some seconds in which every endpoint of a large deployment changes. */
        const val DEFAULT_KEPT = 2_048
    }
}
