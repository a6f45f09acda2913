package io.oriolehall.dispatch.stages

import io.oriolehall.model.ZoneId

/** What a piece is computed from. */
sealed interface PieceInput {
    /** A stage without predecessors: the request's own key. */
    data class Key(val value: String) : PieceInput

    /** Handles of all results of the stages before. */
    data class Results(val handles: List<String>) : PieceInput
}

/**
 * One piece that waits to be computed. Times are monotonic milliseconds.
 *
 * @property group pieces of one stage of one request, in the order in which they arrived.
 * @property preferredZone zone where the result is fetched; null when it does not matter.
 * @property resultBytes memory that its result takes at the worker.
 * @property holdsMemory true while its inputs take scarce memory at the workers that made them.
 * @property objectiveAtMs until when this stage has to be done for the request to be on time.
 * @property deadlineAtMs when the request is given up.
 * @property priority rank of the request, 0 is the most urgent.
 */
class PieceWork(
    val requestId: String,
    val stage: Int,
    val piece: Int,
    val input: PieceInput,
    val group: Long,
    val arrivedAtMs: Long,
    val preferredZone: ZoneId?,
    val resultBytes: Long,
    val holdsMemory: Boolean,
    val objectiveAtMs: Long,
    val deadlineAtMs: Long,
    val priority: Int,
) {
    /** Calls in which the piece was computed without a result. */
    var failures = 0
}
