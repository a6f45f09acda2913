package io.oriolehall.model

import kotlinx.serialization.Serializable

/*
 * The endpoints' HTTP interface, as their operators publish it.
 *
 *   POST /run                 a StageCall as JSON. Every kind but generate answers 200 with a StageResult. A generate
 *                             endpoint answers 200 with one StreamLine as JSON per line: chunks, then an end.
 *   GET  /streams/{id}?offset=N   the stream of a call (id = "requestId.attempt") again from byte N, also while it
 *                             runs; 404 when the endpoint does not know it.
 *   DELETE /streams/{id}      stops the call; 204.
 *   GET  /load                a LoadReport, which may lag.
 *   GET  /events?after=N      a CacheEventPage: what entered and left an engine's prefix cache after event N; events
 *                             come late and some never.
 *   POST /orders              an EngineOrder; 200 with an OrderResult, or 409 when its fencing number is old.
 *
 * 429 and 503 on /run mean that the endpoint declined before it ran anything.
 */

/**
 * One call of a stage.
 *
 * @property remainingMs time left before the request's deadline, milliseconds.
 * @property priority higher numbers go first.
 * @property idempotencyKey set on calls that may not be repeated; endpoints need not use it.
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

/** The result of a stage that answers whole. */
@Serializable
data class StageResult(
    val requestId: RequestId,
    val stage: String,
    val attempt: Int,
    val output: String,
    val usage: Usage = Usage(),
)

/**
 * What a stage cost.
 *
 * @property busyMs time the endpoint spent on the call, milliseconds.
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
 * @property offset offset of the first byte of [text] in the UTF-8 answer.
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

/** End of a stream. [sha256] is the lower-case hex digest of the whole UTF-8 answer of [length] bytes. */
@Serializable
data class StreamEnd(val length: Long, val sha256: String, val usage: Usage = Usage())

/**
 * What an endpoint says of its load. The report may be seconds old.
 *
 * @property limit requests at once that it bears now.
 * @property startedAtMs wall-clock start of the process, milliseconds since the epoch.
 * @property orderFence highest fencing number it has obeyed; 0 before the first order.
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

/** An order to a model engine to change what it serves. */
@Serializable
data class EngineOrder(
    val fence: Long,
    val model: String,
    val version: String,
    val adapter: String? = null,
    val role: String = "generate",
)

/** Answer to an order: the fencing number that the engine now holds. */
@Serializable
data class OrderResult(val accepted: Boolean, val fence: Long)

/**
 * A change of an engine's prefix cache.
 *
 * @property number counts the engine's events from 1; a missing number is an event that was lost.
 * @property stored true when the prefix entered the cache, false when it left.
 * @property prefix digest of the prompt's words up to the end of a block.
 */
@Serializable
data class CacheEvent(val number: Long, val stored: Boolean, val prefix: String)

/** Published cache events; [next] is the number to ask after next. */
@Serializable
data class CacheEventPage(val events: List<CacheEvent>, val next: Long)
