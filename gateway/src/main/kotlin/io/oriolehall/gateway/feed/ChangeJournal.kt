package io.oriolehall.gateway.feed

import io.oriolehall.model.EndpointId
import io.oriolehall.model.ZoneId
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Compacted log of the changes to an instance's published state, read by the instances that follow it. Of the
 * configuration, each endpoint and each zone, only the newest change is kept, because it supersedes the earlier ones;
 * the size therefore depends on the published state and not on how often it changes. A follower whose position is no
 * longer covered fetches a full snapshot instead. Used on the control thread only.
 *
 * @param capacity maximum number of changes that are kept.
 */
class ChangeJournal(private val capacity: Int = DEFAULT_CAPACITY) {
    private data class Entry(val position: Long, val change: PublishedChange)

    /** The newest change of each subject, ordered by position. */
    private val newest = LinkedHashMap<Subject, Entry>()

    /** Position of the last change that was dropped for lack of capacity. */
    private var droppedUpTo = 0L
    private val mutablePosition = MutableStateFlow(0L)

    /** Number of changes recorded so far. */
    val position: Long get() = mutablePosition.value

    fun add(changes: List<PublishedChange>) {
        var last = position
        for (change in changes) {
            val subject = Subject.of(change)
            newest.remove(subject)
            newest[subject] = Entry(++last, change)
        }
        while (newest.size > capacity) dropOldest()
        mutablePosition.value = last
    }

    private fun dropOldest() {
        val oldest = newest.entries.first()
        droppedUpTo = oldest.value.position
        newest.remove(oldest.key)
    }

    /** Returns the newest changes after position [from], or null if some of them have been dropped. */
    fun changesAfter(from: Long): List<PublishedChange>? {
        if (from !in droppedUpTo..position) return null
        return newest.values.filter { it.position > from }.map(Entry::change)
    }

    /** Waits up to [waitMs] milliseconds for a change after position [from]. */
    suspend fun awaitChange(from: Long, waitMs: Long) {
        withTimeoutOrNull(waitMs) { mutablePosition.first { it > from } }
    }

    /** What a change is about; a later change of the same subject supersedes it. */
    private sealed interface Subject {
        data object Configuration : Subject

        data class Endpoint(val id: EndpointId) : Subject

        data class Zone(val id: ZoneId) : Subject

        data class Item(val key: String) : Subject

        companion object {
            fun of(change: PublishedChange): Subject = when (change) {
                is PublishedChange.ConfigPublished -> Configuration
                is PublishedChange.EndpointRegistered -> Endpoint(change.record.id)
                is PublishedChange.EndpointWithdrawn -> Endpoint(change.id)
                is PublishedChange.ZoneEvacuated -> Zone(change.zone)
                is PublishedChange.ZoneRestored -> Zone(change.zone)
                is PublishedChange.Unreadable -> Item(change.key)
            }
        }
    }

    private companion object {
        /** Holds several seconds of changes even if every endpoint of a large deployment changes. */
        const val DEFAULT_CAPACITY = 2_048
    }
}
