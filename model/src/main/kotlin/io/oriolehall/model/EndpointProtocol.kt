package io.oriolehall.model

import kotlinx.serialization.Serializable

/*
 * The HTTP interface of endpoints, as published by their operators.
 *
 *   POST /run                 takes a StageCall as JSON. A generate endpoint responds with 200 and one StreamLine as
 *                             JSON per line: chunks, then an end. All other kinds respond with 200 and a StageResult.
 *   GET  /streams/{id}?offset=N   returns the stream of a call (id = "requestId.attempt") from byte N, also while the
 *                             call runs; 404 if the endpoint does not have the stream.
 *   DELETE /streams/{id}      cancels the call; 204.
 *   GET  /load                returns a LoadReport, which may be out of date.
 *   GET  /events?after=N      returns a CacheEventPage: insertions into and evictions from an engine's prefix cache
 *                             after event N. Events may be delayed or lost.
 *   POST /orders              takes an EngineOrder; 200 with an OrderResult, or 409 if its fencing number is stale.
 *
 * 429 and 503 on /run mean that the endpoint declined the call before it ran anything.
 */

/**
 * A call that runs one stage of a request at an endpoint.
 *
 * @property attempt number of the attempt; together with [requestId] it identifies the call's stream.
 * @property remainingMs time until the request's deadline in milliseconds.
 * @property priority calls with higher numbers run first.
 * @property idempotencyKey set if the call must not run twice; endpoints may ignore it.
 */
@Serializable
data class StageCall(
    val requestId: RequestId,
    val stage: String,
    val attempt: Int,
    val organisation: OrganisationId,
    val input: String,
    val query: String,
    val remainingMs: Long,
    val priority: Int = 0,
    val maxTokens: Int = 64,
    val idempotencyKey: String? = null,
)

/** The result of a stage that is not streamed. */
@Serializable
data class StageResult(
    val requestId: RequestId,
    val stage: String,
    val attempt: Int,
    val output: String,
    val usage: Usage = Usage(),
)

/**
 * Resources that a stage call used.
 *
 * @property busyMs time that the endpoint spent on the call, in milliseconds.
 * @property cachedTokens prompt tokens found in the prefix cache.
 */
@Serializable
data class Usage(
    val busyMs: Double = 0.0,
    val promptTokens: Int = 0,
    val cachedTokens: Int = 0,
    val outputTokens: Int = 0,
) {
    operator fun plus(other: Usage) = Usage(
        busyMs + other.busyMs,
        promptTokens + other.promptTokens,
        cachedTokens + other.cachedTokens,
        outputTokens + other.outputTokens,
    )
}

/**
 * A line of a generate endpoint's stream: text at a byte offset, or the end.
 *
 * @property offset position of the first byte of [text] in the UTF-8 answer.
 * @property end set on the last line.
 */
@Serializable
data class StreamLine(
    val requestId: RequestId,
    val stage: String,
    val attempt: Int,
    val offset: Long,
    val text: String = "",
    val end: StreamEnd? = null,
)

/** End of a stream. [sha256] is the lower-case hex digest of the complete UTF-8 answer of [length] bytes. */
@Serializable
data class StreamEnd(val length: Long, val sha256: String, val usage: Usage = Usage())

/**
 * An endpoint's report of its load, which may be several seconds old.
 *
 * @property limit number of concurrent requests that the endpoint can currently handle.
 * @property startedAtMs wall-clock time at which the process started, in milliseconds since the epoch.
 * @property orderFence highest fencing number of an accepted order; 0 before the first one.
 * @property ordering true while the endpoint is carrying out an order.
 */
@Serializable
data class LoadReport(
    val running: Int,
    val queued: Int,
    val limit: Int,
    val warm: Boolean,
    val startedAtMs: Long,
    val model: String? = null,
    val version: String? = null,
    val adapter: String? = null,
    val role: String? = null,
    val orderFence: Long = 0,
    val ordering: Boolean = false,
)

/** An order to a model engine to load a model and take a role. [fence] is the order's fencing number. */
@Serializable
data class EngineOrder(
    val fence: Long,
    val model: String,
    val version: String,
    val adapter: String? = null,
    val role: String = "generate",
)

/** Answer to an order. [fence] is the highest fencing number that the engine has accepted. */
@Serializable
data class OrderResult(val accepted: Boolean, val fence: Long)

/**
 * A change of an engine's prefix cache.
 *
 * @property number sequence number of the engine's events, from 1; a gap means that events were lost.
 * @property stored true if the prefix was added to the cache, false if it was evicted.
 * @property prefix digest of the prompt's words up to the end of a cache block.
 */
@Serializable
data class CacheEvent(val number: Long, val stored: Boolean, val prefix: String)

/** A page of cache events. [next] is the value of `after` for the next page. */
@Serializable
data class CacheEventPage(val events: List<CacheEvent>, val next: Long)
