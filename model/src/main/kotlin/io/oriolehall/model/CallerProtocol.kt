package io.oriolehall.model

import kotlinx.serialization.Serializable

/*
 * The callers' HTTP interface. docs/CALLERS.md is the contract.
 *
 *   POST /v1/tokens                  a MintedToken: an idempotency key whose home is the instance that answers.
 *   POST /v1/pipelines/{name}        a PipelineRequest; answers with server-sent events.
 *   GET  /v1/requests/{id}           the answer again, from the offset in Last-Event-ID.
 *
 * Events: `accepted` (AcceptedEvent), `chunk` (ChunkEvent, its id is the offset after it), `end` (EndEvent) or
 * `problem` (Problem) when the answer cannot be finished.
 */

/** Names of the HTTP headers that callers set. */
object CallerHeaders {
    const val IDEMPOTENCY_KEY = "Idempotency-Key"

    /** Time the caller gives the request, milliseconds from its arrival. */
    const val DEADLINE_MS = "Deadline-Ms"
    const val LAST_EVENT_ID = "Last-Event-ID"
}

/** A request to a pipeline. */
@Serializable
data class PipelineRequest(val input: String, val maxTokens: Int = 64, val priority: Int = 0)

/** A key made by an instance. [token] is sent back unchanged as `Idempotency-Key`. */
@Serializable
data class MintedToken(val token: String, val expiresInMs: Long)

/** First event of an answer: the identifier to resume with. */
@Serializable
data class AcceptedEvent(val requestId: RequestId, val instance: InstanceId)

/** A part of the answer: [text] starts at byte [offset] of the UTF-8 answer. */
@Serializable
data class ChunkEvent(val offset: Long, val text: String)

/** End of an answer: its length in bytes and the lower-case hex SHA-256 of the whole. */
@Serializable
data class EndEvent(val length: Long, val sha256: String)
