package io.oriolehall.entry.answers

import io.oriolehall.model.OrganisationId
import io.oriolehall.model.Refusal
import io.oriolehall.model.RequestId
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.withTimeoutOrNull
import java.security.MessageDigest

/**
 * The answer to one request while it grows and afterwards. One writer appends; any number of readers follow it from
 * any offset, so that a caller who lost its connection can take it up again.
 */
class Answer(val requestId: RequestId, val organisation: OrganisationId) {
    /**
     * What is known of the answer.
     *
     * @property chunks the text in pieces as it came; one piece once the answer has ended.
     * @property ending [AnswerItem.End] or [AnswerItem.Refused] once nothing more will come.
     */
    data class State(
        val chunks: PersistentList<AnswerItem.Chunk> = persistentListOf(),
        val length: Long = 0,
        val ending: AnswerItem? = null,
    )

    private val digest = MessageDigest.getInstance("SHA-256")
    private val followers = MutableStateFlow(0)
    private val mutableState = MutableStateFlow(State())

    /** State as it changes. */
    val state: StateFlow<State> = mutableState.asStateFlow()

    /** Bytes so far. */
    val length: Long get() = state.value.length

    /** True when nothing more will come. */
    val ended: Boolean get() = state.value.ending != null

    /** Adds [text] at the end. Only the writer calls it, and not after the end. */
    fun append(text: String) {
        check(!ended) { "answer $requestId has ended; nothing can be added" }
        if (text.isEmpty()) return
        val bytes = text.encodeToByteArray()
        digest.update(bytes)
        mutableState.update {
            it.copy(
                chunks = it.chunks.add(AnswerItem.Chunk(it.length, text)),
                length =
                it.length + bytes.size,
            )
        }
    }

    /** Marks the answer whole. */
    fun finish() {
        val sha256 = digest.digest().toHexString()
        end { AnswerItem.End(it.length, sha256) }
    }

    /** Marks the answer as one that cannot be finished. An answer that has ended stays as it is. */
    fun refuse(refusal: Refusal) {
        end { AnswerItem.Refused(refusal.copy(requestId = requestId)) }
    }

    private fun end(ending: (State) -> AnswerItem) = mutableState.update {
        if (it.ending != null) it else it.copy(chunks = it.joined(), ending = ending(it))
    }

    /** Ended answers are kept for a while; as one piece they take a fraction of the memory. */
    private fun State.joined(): PersistentList<AnswerItem.Chunk> {
        if (chunks.size < 2) return chunks
        val text = chunks.joinToString("", transform = AnswerItem.Chunk::text)
        return persistentListOf(AnswerItem.Chunk(0, text))
    }

    /** Returns once nobody has followed the answer for [graceMs] milliseconds without a break. */
    suspend fun awaitAbandoned(graceMs: Long) {
        do {
            followers.first { it == 0 }
            val returned = withTimeoutOrNull(graceMs) { followers.first { it > 0 } }
        } while (returned != null)
    }

    /** Waits for text after byte [offset] or for the ending; the refusal, if that is what comes first. */
    suspend fun refusalBeforeText(offset: Long): Refusal? = following {
        val now = state.first { it.length > offset || it.ending != null }
        (now.ending as? AnswerItem.Refused)?.refusal?.takeIf { now.length <= offset }
    }

    /** Hands the answer from byte [offset] on to [onItem], waiting for what is to come, up to and with its ending. */
    suspend fun follow(offset: Long, onItem: suspend (AnswerItem) -> Unit) = following { handOn(offset, onItem) }

    private inline fun <T> following(read: () -> T): T {
        followers.update { it + 1 }
        try {
            return read()
        } finally {
            followers.update { it - 1 }
        }
    }

    private suspend fun handOn(offset: Long, onItem: suspend (AnswerItem) -> Unit) {
        var position = offset
        var next = 0
        while (true) {
            val now = state.first { it.length > position || it.ending != null }
            if (now.ending != null) next = 0
            while (next < now.chunks.size) {
                now.chunks[next++].from(position)?.let { onItem(it) }
            }
            position = maxOf(position, now.length)
            if (now.ending != null) {
                onItem(now.ending)
                return
            }
        }
    }

    private fun AnswerItem.Chunk.from(start: Long): AnswerItem.Chunk? {
        if (offset >= start) return this
        val bytes = text.encodeToByteArray()
        val skip = start - offset
        if (skip >= bytes.size) return null
        return AnswerItem.Chunk(start, bytes.decodeToString(startIndex = skip.toInt()))
    }
}
