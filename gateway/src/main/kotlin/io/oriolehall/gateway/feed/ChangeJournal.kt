package io.oriolehall.gateway.feed

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Bounded, numbered log of the most recent changes to an instance's published state, read by the instances that follow
 * it. A follower whose position is no longer retained fetches a full snapshot instead. Used on the control thread only.
 */
class ChangeJournal(private val capacity: Int = DEFAULT_CAPACITY) {
    private val changes = ArrayDeque<PublishedChange>()
    private val mutablePosition = MutableStateFlow(0L)

    /** Number of changes recorded so far. */
    val position: Long get() = mutablePosition.value

    fun add(newChanges: List<PublishedChange>) {
        changes += newChanges
        while (changes.size > capacity) changes.removeFirst()
        mutablePosition.value += newChanges.size
    }

    /** Returns the changes after position [from], or null if some of them have been dropped. */
    fun changesAfter(from: Long): List<PublishedChange>? {
        val missing = position - from
        if (missing < 0 || missing > changes.size) return null
        return changes.takeLast(missing.toInt())
    }

    /** Waits up to [waitMs] milliseconds for a change after position [from]. */
    suspend fun awaitChange(from: Long, waitMs: Long) {
        withTimeoutOrNull(waitMs) { mutablePosition.first { it > from } }
    }

    private companion object {
        /** Holds several seconds of changes even if every endpoint of a large deployment changes. */
        const val DEFAULT_CAPACITY = 2_048
    }
}
