package io.oriolehall.gateway.wire

import com.github.michaelbull.result.Result
import io.oriolehall.dispatch.endpoints.LoadReport
import io.oriolehall.dispatch.stages.PieceWork

/*
 * The parts of a deployment's protocol with callers and endpoints that the gateway depends on. Names differ between
 * deployments; an adapter supplies them.
 */

/** Names of the headers that the gateway reads, sets or removes. */
data class HeaderNames(
    /** Identifies one attempt of a caller; endpoints return it in their responses. */
    val attemptId: String,
    /** From a caller: how long it waits; to an endpoint: the time remaining. Milliseconds. */
    val deadlineMs: String,
    /** Organisation of the caller, set by the gateway. */
    val organisation: String,
    /** Name of the endpoint that the request is addressed to; any other endpoint declines it. */
    val expectedEndpoint: String,
    /** Signature that endpoints add to each response; a response without it has a truncated head. */
    val signature: String,
    /** Present in a response when the endpoint did not run the request. */
    val notExecuted: String,
    /** Present in a response, with the value 1, when the endpoint is about to stop. */
    val leaving: String,
    /** Parts of the prompt in order, each as an identifier and a token count. */
    val promptParts: String,
    /** Number of pieces of each stage, in the order of the stages. */
    val pieceCounts: String,
    /** Key of the pieces of stages without predecessors. */
    val pieceKey: String,
    /** Handles of the results that a model endpoint fetches. */
    val inputs: String,
    /** Priority of the request at a model endpoint; 0 is the most urgent. */
    val requestPriority: String,
    /** Identifier of the last event that the caller has received. */
    val lastEventId: String,
    /** Headers that only the gateway may set; they are removed from callers' requests. */
    val reserved: Set<String>,
)

/** Outcome of one piece of a call. */
sealed interface PieceOutcome {
    /** The worker stores the result under [handle]. */
    data class Done(val handle: String) : PieceOutcome

    /** Its deadline had passed before the worker reached it. */
    data object Late : PieceOutcome

    /** One of its inputs no longer exists. */
    data object InputGone : PieceOutcome

    /** The worker did not have enough memory for the result. */
    data object NoRoom : PieceOutcome

    /** The worker failed to compute it. */
    data object Failed : PieceOutcome
}

/** Encoding of calls to stage workers in a deployment's protocol. */
interface StageCallCodec {
    val runPath: String

    val releasePath: String

    val contentType: String

    /** Encodes a call that runs [pieces]; their remaining times are relative to [nowMs]. */
    fun encodeRun(pieces: List<PieceWork>, nowMs: Long): ByteArray

    /** Decodes the outcomes, in the order of the call's pieces; null when [body] is malformed. */
    fun decodeRun(body: ByteArray): List<PieceOutcome>?

    /** Encodes a call that releases the results under [handles]. */
    fun encodeRelease(handles: List<String>): ByteArray
}

/** Reason why the value of a load header cannot be used. */
data class LoadHeaderError(val text: String, val remedy: String) {
    val message: String get() = "\"${text.take(MAX_SHOWN)}\" is not a load; the endpoint has to send $remedy"

    private companion object {
        const val MAX_SHOWN = 40
    }
}

/** Header by which the endpoints of a deployment report their load in responses. */
interface LoadHeader {
    val name: String

    fun parse(text: String): Result<LoadReport, LoadHeaderError>
}

/**
 * A deployment's protocol as the gateway uses it.
 *
 * @property keyScheme scheme of the Authorization header that carries an API key.
 * @property loadHeader null if endpoints do not report their load.
 */
class WireProtocol(
    val headers: HeaderNames,
    val stageCallCodec: StageCallCodec,
    val keyScheme: String,
    val readyPath: String,
    val loadHeader: LoadHeader? = null,
)
