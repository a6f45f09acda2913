package io.oriolehall.gateway.stages

import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.ZoneId
import io.oriolehall.peer.PeerChannel
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Asks the owner of a service's stage queue for all pieces of one stage of one request.
 *
 * @property key input of a stage without predecessors; null for the others.
 * @property inputs handles of the results of the stages before.
 * @property objectiveInMs time until this stage has to be done for the request to be on time, milliseconds.
 * @property preferredZone zone where large results will be fetched; null when it does not matter.
 * @property inputsScarce true when the inputs take scarce memory at the workers that made them.
 * @property deadlineInMs time until the request is given up, milliseconds.
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
    @SerialName("m") val inputsScarce: Boolean = false,
    @SerialName("o") val objectiveInMs: Long,
    @SerialName("d") val deadlineInMs: Long,
    @SerialName("u") val priority: Int,
    @SerialName("z") val preferredZone: ZoneId? = null,
)

/** A result that lies at [worker] in [zone]. */
@Serializable
data class StageResult(
    @SerialName("h") val handle: String,
    @SerialName("w") val worker: NetworkAddress,
    @SerialName("z") val zone: ZoneId,
)

/** Why a stage has no results. */
@Serializable
enum class StageFailure {
    /** More work waits than can be done in time; [StageAnswer.retryAfterMs] says when to come back. */
    OVERLOADED,

    /** No worker of the service can be used. */
    NO_WORKER,

    /** The request's time was over before its turn. */
    LATE,

    /** An input no longer exists. */
    INPUT_GONE,

    /** The workers failed to compute it. */
    FAILED,

    /** The asked instance does not own the queue, or not any more; the pieces that waited have not been computed. */
    NOT_OWNER,
}

/**
 * Results in the order of the pieces, or a failure; or, before that, the news that the pieces wait in a queue or that
 * the inputs are no longer needed.
 *
 * @property queued true when the pieces wait behind others; results or a failure follow.
 * @property inputsFetched true when all pieces are being computed; results or a failure follow.
 * @property expectedMs time that another stage request would take now, milliseconds.
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

/** Gives up results of a service's workers. */
@Serializable
data class StageRelease(@SerialName("s") val service: String, @SerialName("h") val results: List<StageResult>)

@Serializable
data class StageReleased(@SerialName("n") val count: Int)

internal object StageChannels {
    val RUN = PeerChannel.of<StageRequest, StageAnswer>("stage.run")
    val RELEASE = PeerChannel.of<StageRelease, StageReleased>("stage.release")
}
