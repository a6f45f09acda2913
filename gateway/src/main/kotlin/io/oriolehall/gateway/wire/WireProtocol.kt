package io.oriolehall.gateway.wire

import io.oriolehall.dispatch.stages.PieceWork

/*
 * What the gateway has to know of the protocol that callers and endpoints of a deployment speak. The names differ
 * between deployments; an adapter supplies them.
 */

/** Names of the headers that the gateway reads, sets or removes. */
data class HeaderNames(
    /** Identifies one attempt of a caller; endpoints repeat it in their answers. */
    val attemptId: String,
    /** Milliseconds that the caller will wait, or that an endpoint has left. */
    val deadlineMs: String,
    /** Organisation of the caller, set by the gateway. */
    val organisation: String,
    /** Name of the endpoint for which a request is meant; another one declines it. */
    val expectedEndpoint: String,
    /** Signature that endpoints put on each answer; one without it was cut in its head. */
    val signature: String,
    /** Present when the endpoint did not run the request. */
    val notExecuted: String,
    /** Parts of the prompt in order, each as an identifier and a number of tokens. */
    val promptParts: String,
    /** Pieces of each stage, in the order of the stages. */
    val pieceCounts: String,
    /** Key of the pieces of stages without predecessors. */
    val pieceKey: String,
    /** Handles of the results that a model endpoint fetches. */
    val inputs: String,
    /** Rank of the request at a model endpoint, 0 is the most urgent. */
    val requestPriority: String,
    /** Number of the last event that the caller has received. */
    val lastEventId: String,
    /** Headers that only the gateway may set; a caller's own are removed. */
    val reserved: Set<String>,
)

/** Outcome of one piece of a call. */
sealed interface PieceOutcome {
    /** The result lies at the worker under [handle]. */
    data class Done(val handle: String) : PieceOutcome

    /** The time left for it had passed when its turn came. */
    data object Late : PieceOutcome

    /** One of its inputs no longer exists. */
    data object InputGone : PieceOutcome

    /** The worker had no memory for the result. */
    data object NoRoom : PieceOutcome

    /** The worker failed to compute it. */
    data object Failed : PieceOutcome
}

/** Calls to stage workers as a deployment spells them. */
interface StageCalls {
    val runPath: String

    val freePath: String

    val contentType: String

    /** Body of a call that runs [pieces]; their remaining time is counted from [nowMs]. */
    fun encodeRun(pieces: List<PieceWork>, nowMs: Long): ByteArray

    /** Outcomes in the order of the call's pieces; null when [body] cannot be read. */
    fun decodeRun(body: ByteArray): List<PieceOutcome>?

    fun encodeFree(handles: List<String>): ByteArray
}

/** All that the gateway needs of a deployment's protocol. */
class WireProtocol(val headers: HeaderNames, val stageCalls: StageCalls, val keyScheme: String, val readyPath: String)
