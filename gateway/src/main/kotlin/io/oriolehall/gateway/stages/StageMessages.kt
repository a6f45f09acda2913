package io.oriolehall.gateway.stages

import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.ZoneId
import io.oriolehall.peer.PeerChannel
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Asks the owner of a service's stage queue to compute all pieces of one stage of a request.
 *
 * @property key input of a stage without predecessors; null for other stages.
 * @property inputs handles of the results of the preceding stages.
 * @property objectiveInMs milliseconds until this stage has to complete for the request to meet its latency objective.
 * @property preferredZone zone in which the stage should run, because large inputs are stored or large results will be
 *   fetched there; null if it does not matter.
 * @property inputsUseScarceMemory true if the inputs occupy scarce memory at the workers that produced them.
 * @property deadlineInMs milliseconds until the deadline of the request.
 * @property ownerSilent true if the owner does not answer the sender, so that the receiver runs the pieces although it
 *   does not own the queue.
 */
@Serializable
data class StageRequest(
    @SerialName("s") val service: String,
    @SerialName("r") val requestId: String,
    @SerialName("n") val stage: Int,
    @SerialName("p") val pieces: Int,
    @SerialName("k") val key: String? = null,
    @SerialName("i") val inputs: List<String> = emptyList(),
    @SerialName("b") val resultBytes: Long,
    @SerialName("m") val inputsUseScarceMemory: Boolean = false,
    @SerialName("o") val objectiveInMs: Long,
    @SerialName("d") val deadlineInMs: Long,
    @SerialName("u") val priority: Int,
    @SerialName("z") val preferredZone: ZoneId? = null,
    @SerialName("f") val ownerSilent: Boolean = false,
)

/** A result that is stored at [worker] in [zone]. */
@Serializable
data class StageResult(
    @SerialName("h") val handle: String,
    @SerialName("w") val worker: NetworkAddress,
    @SerialName("z") val zone: ZoneId,
)

/** Reason why a stage failed. */
@Serializable
enum class StageFailure {
    /** The queue is too long to complete the stage in time; retry after [StageAnswer.retryAfterMs]. */
    OVERLOADED,

    /** The service has no usable worker. */
    NO_WORKER,

    /** The pieces cannot be computed before the deadline of the request. */
    LATE,

    /** An input no longer exists. */
    INPUT_GONE,

    /** The workers failed to compute a piece. */
    FAILED,

    /** The receiver does not own the queue, or no longer does; the pieces have not been computed. */
    NOT_OWNER,
}

/**
 * The results in the order of the pieces, or a failure. Interim answers may precede it: the pieces are queued, or the
 * inputs are no longer needed.
 *
 * @property queued true if the pieces are queued behind others; results or a failure follow.
 * @property inputsFetched true if all pieces have been started and have had time to fetch their inputs; results or a
 *   failure follow.
 * @property expectedMs estimated duration of another stage request that arrives now, in milliseconds.
 */
@Serializable
data class StageAnswer(
    @SerialName("h") val results: List<StageResult> = emptyList(),
    @SerialName("f") val failure: StageFailure? = null,
    @SerialName("a") val retryAfterMs: Long = 0,
    @SerialName("e") val expectedMs: Long = 0,
    @SerialName("i") val inputsFetched: Boolean = false,
    @SerialName("q") val queued: Boolean = false,
)

/** Asks the owner of a service's stage queue to free results at the workers. */
@Serializable
data class StageRelease(@SerialName("s") val service: String, @SerialName("h") val results: List<StageResult>)

@Serializable
data class StageReleased(@SerialName("n") val count: Int)

internal object StageChannels {
    val RUN = PeerChannel.of<StageRequest, StageAnswer>("stage.run")
    val RELEASE = PeerChannel.of<StageRelease, StageReleased>("stage.release")
}
