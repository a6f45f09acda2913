package io.oriolehall.gateway.stages

import io.oriolehall.dispatch.stages.PieceWork

/**
 * The handles that stage workers have lately returned, each with the piece whose result it names. A handle that is
 * returned for another piece tells a second answer to an earlier call from the answer to this one.
 *
 * @param capacity maximum number of handles that are remembered.
 */
internal class HandleHistory(private val capacity: Int = DEFAULT_CAPACITY) {
    private data class Piece(val requestId: String, val stage: Int, val number: Int)

    private val pieces = object : LinkedHashMap<String, Piece>() {
        override fun removeEldestEntry(eldest: Map.Entry<String, Piece>): Boolean = size > capacity
    }

    /** True if [handle] has been returned for another piece than [work]. */
    fun isForeign(handle: String, work: PieceWork): Boolean = (pieces[handle] ?: return false) != piece(work)

    fun record(handle: String, work: PieceWork) {
        pieces[handle] = piece(work)
    }

    private fun piece(work: PieceWork) = Piece(work.requestId, work.stage, work.piece)

    private companion object {
        /** Covers the answers of many seconds, in which a second answer may arrive. */
        const val DEFAULT_CAPACITY = 8_192
    }
}
