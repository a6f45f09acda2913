package io.oriolehall.dispatch.config

import io.oriolehall.model.OrganisationId
import kotlinx.serialization.Serializable

/** What may be repeated when an attempt at an endpoint fails. */
@Serializable
enum class RouteKind {
    /** May run any number of times. */
    IDEMPOTENT,

    /** Runs at most once. */
    AT_MOST_ONCE,

    /** Answers with a series of events. It runs at most once unless the route is resumable. */
    STREAMING,
}

/** One of the services that a route sends its requests to. [weight] is relative to the other targets. */
@Serializable
data class RouteTarget(val service: String, val weight: Int)

/**
 * Work that is done before a request is sent to its service.
 *
 * @property after indexes of the stages whose results it needs.
 * @property resultBytes approximate size of one result, bytes.
 */
@Serializable
data class StageSpec(val service: String, val after: List<Int>, val resultBytes: Long)

/**
 * How requests of one host and path prefix are served.
 *
 * @property prefix path prefix; it begins and ends with a slash.
 * @property timeoutMs longest time that a caller is kept waiting, milliseconds.
 * @property objectiveMs time within which an answer (or the first event of a stream) is on time, milliseconds.
 * @property priority rank of the route, 0 is the most urgent.
 * @property maxAttempts most endpoints to which one request is sent.
 * @property anonymous true when no API key is needed.
 * @property resumable true when a broken stream may continue at another endpoint.
 */
@Serializable
data class Route(
    val name: String,
    val host: String,
    val prefix: String,
    val kind: RouteKind,
    val timeoutMs: Long,
    val objectiveMs: Long,
    val priority: Int,
    val targets: List<RouteTarget>,
    val maxAttempts: Int,
    val stages: List<StageSpec> = emptyList(),
    val anonymous: Boolean = false,
    val resumable: Boolean = false,
) {
    /** True when a request may be sent again although an endpoint may have run it. */
    val repeatable: Boolean get() = kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAMING && resumable)

    /** Services that compute its stages. */
    val stageServices: Set<String> get() = stages.mapTo(mutableSetOf(), StageSpec::service)

    /** Stages whose results go to the service itself: those that no other stage needs. */
    val finalStages: List<Int> get() = stages.indices - stages.flatMap(StageSpec::after).toSet()
}

/**
 * Limits of a worker of a service that computes stage pieces.
 *
 * @property slots calls that a worker computes at the same time.
 * @property batch most pieces in a call.
 * @property callMs time of a call without its pieces, milliseconds.
 * @property pieceMs time that a piece adds, milliseconds; approximate.
 * @property resultRoomBytes memory of a worker for results that have not been freed.
 * @property resultLifetimeMs time after which a worker drops a result by itself, milliseconds.
 */
@Serializable
data class PieceLimits(
    val slots: Int,
    val batch: Int,
    val callMs: Double,
    val pieceMs: Double,
    val resultRoomBytes: Long,
    val resultLifetimeMs: Long,
)

/**
 * Limits of a model engine.
 *
 * @property slots requests that it runs at the same time.
 * @property cacheTokens tokens that its memory holds.
 */
@Serializable
data class EngineLimits(val slots: Int, val cacheTokens: Long)

/**
 * A service and the limits of each of its endpoints.
 *
 * @property maxConnections connections that an endpoint accepts from all instances together.
 * @property coldPerSecond requests a second that an endpoint bears while it is cold; 0 when it is never cold.
 */
@Serializable
data class Service(
    val name: String,
    val healthPath: String,
    val maxConnections: Int,
    val coldPerSecond: Double,
    val engine: EngineLimits? = null,
    val pieces: PieceLimits? = null,
)

/** Bounds on what a caller may send and how long it may take. */
@Serializable
data class CallerLimits(
    val maxHeaderBytes: Int = 16_384,
    val maxBodyBytes: Int = 4_194_304,
    val headerTimeoutMs: Long = 3_000,
    val idleTimeoutMs: Long = 15_000,
)

/** An organisation with its API keys. [priority] goes before the route's when it is set. */
@Serializable
data class Organisation(val id: OrganisationId, val apiKeys: List<String>, val priority: Int? = null)

/** One whole configuration. A higher [version] is newer. */
@Serializable
data class ServingConfig(
    val version: Long,
    val routes: List<Route>,
    val services: List<Service>,
    val limits: CallerLimits,
    val organisations: List<Organisation>,
)
