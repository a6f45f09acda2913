package io.oriolehall.model

import kotlinx.serialization.Serializable

/*
 * The HTTP interface for callers, specified in docs/CALLERS.md.
 *
 *   POST /v1/tokens                  returns a MintedToken: an idempotency key whose home is the issuing instance.
 *   POST /v1/pipelines/{name}        takes a PipelineRequest and responds with server-sent events.
 *   GET  /v1/requests/{id}           resumes the answer from the offset in Last-Event-ID.
 *
 * Events: `accepted` (AcceptedEvent), `chunk` (ChunkEvent, its id is the offset of the next byte), `end` (EndEvent), or
 * `problem` (Problem) if the answer cannot be completed.
 */

/** Names of the HTTP request headers that callers set. */
object CallerHeaders {
    const val IDEMPOTENCY_KEY = "Idempotency-Key"

    /** The request's deadline in milliseconds after its arrival. */
    const val DEADLINE_MS = "Deadline-Ms"
    const val LAST_EVENT_ID = "Last-Event-ID"
}

/** A request to a pipeline. */
@Serializable
data class PipelineRequest(val input: String, val maxTokens: Int = 64, val priority: Int = 0)

/** An idempotency key issued by an instance. Callers send [token] unchanged in `Idempotency-Key`. */
@Serializable
data class MintedToken(val token: String, val expiresInMs: Long)

/** First event of an answer. [requestId] identifies the answer when the caller resumes it. */
@Serializable
data class AcceptedEvent(val requestId: RequestId, val instance: InstanceId)

/** A chunk of the answer. [text] starts at byte [offset] of the UTF-8 answer. */
@Serializable
data class ChunkEvent(val offset: Long, val text: String)

/** End of an answer, with its length in bytes and the lower-case hex SHA-256 digest of the complete answer. */
@Serializable
data class EndEvent(val length: Long, val sha256: String)
