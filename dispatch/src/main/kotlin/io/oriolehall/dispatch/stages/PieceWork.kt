package io.oriolehall.dispatch.stages

import io.oriolehall.model.ZoneId

/** Input from which a piece is computed. */
sealed interface PieceInput {
    /** For a stage without predecessors: the key of the request. */
    data class Key(val value: String) : PieceInput

    /** Handles of all results of the preceding stages. */
    data class Results(val handles: List<String>) : PieceInput
}

/**
 * One piece of a stage of a request; a stage worker computes one result for it. The pieces of a stage may run in
 * different calls and at different workers. Times are monotonic milliseconds.
 *
 * @property group number shared by the pieces of one stage of one request; numbers increase in order of arrival.
 * @property preferredZone zone from which the result will be fetched; null when the zone does not matter.
 * @property resultBytes memory that its result occupies at the worker.
 * @property inputsHoldMemory true while its inputs occupy scarce memory at the workers that computed them.
 * @property objectiveAtMs when this stage has to be complete for the request to be on time.
 * @property deadlineAtMs when the request is abandoned.
 * @property priority priority of the request; 0 is the most urgent.
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
    val inputsHoldMemory: Boolean,
    val objectiveAtMs: Long,
    val deadlineAtMs: Long,
    val priority: Int,
) {
    /** Number of calls that included this piece and returned no result for it. */
    var failures = 0
}
