package io.oriolehall.dispatch.config

import io.oriolehall.model.OrganisationId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Determines whether the requests of a route may be retried when an attempt at an endpoint fails. */
@Serializable
enum class RouteKind {
    /** May run any number of times. */
    IDEMPOTENT,

    /** Runs at most once. */
    AT_MOST_ONCE,

    /** Responds with a stream of events. Runs at most once unless the route is resumable. */
    STREAMING,
}

/** A service to which a route sends requests. [weight] is relative to the other targets of the route. */
@Serializable
data class RouteTarget(val service: String, val weight: Int)

/**
 * A computation that has to be complete before a request is sent to a target service of its route.
 *
 * @property service service whose workers run the stage.
 * @property after indexes of the stages whose results it needs.
 * @property resultBytes approximate size of one result, bytes.
 */
@Serializable
data class StageSpec(val service: String, val after: List<Int>, val resultBytes: Long)

/**
 * How requests for one host and path prefix are served.
 *
 * @property prefix path prefix; it begins and ends with a slash.
 * @property timeoutMs longest time that a caller waits for the response, milliseconds.
 * @property objectiveMs latency objective for the response, or for the first event of a stream, milliseconds.
 * @property priority priority of the route; 0 is the most urgent.
 * @property maxAttempts maximum number of endpoints to which one request is sent.
 * @property anonymous true when no API key is needed.
 * @property resumable true when an interrupted stream may continue at another endpoint.
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
    /** True when a request may be retried even if an endpoint may already have run it. */
    val retryable: Boolean get() = kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAMING && resumable)

    /** Services that compute the stages of this route. */
    val stageServices: Set<String> get() = stages.mapTo(mutableSetOf(), StageSpec::service)

    /** Indexes of the stages whose results go to the target service: those that no other stage needs. */
    val finalStages: List<Int> get() = stages.indices - stages.flatMap(StageSpec::after).toSet()
}

/**
 * Limits of a worker of a service that computes stage pieces.
 *
 * @property slots maximum number of concurrent calls to a worker.
 * @property batch maximum number of pieces in a call.
 * @property callMs fixed time of a call, without its pieces, milliseconds.
 * @property pieceMs approximate time that each piece adds to a call, milliseconds.
 * @property resultMemoryBytes memory of a worker for results that have not been freed.
 * @property resultLifetimeMs time after which a worker discards a result that was not freed, milliseconds.
 */
@Serializable
data class PieceLimits(
    val slots: Int,
    val batch: Int,
    val callMs: Double,
    val pieceMs: Double,
    @SerialName("resultRoomBytes")
    val resultMemoryBytes: Long,
    val resultLifetimeMs: Long,
)

/**
 * Limits of a model engine.
 *
 * @property slots maximum number of concurrent requests.
 * @property cacheTokens tokens that fit into its cache.
 */
@Serializable
data class EngineLimits(val slots: Int, val cacheTokens: Long)

/**
 * A service and the limits of each of its endpoints.
 *
 * @property maxConnections connections that an endpoint accepts from all instances combined.
 * @property coldPerSecond requests per second that an endpoint can handle while it is cold; 0 when it is never cold.
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

/** Limits on the size of a caller's request, on the time to send it, and on the time that a connection may be idle. */
@Serializable
data class CallerLimits(
    val maxHeaderBytes: Int = 16_384,
    val maxBodyBytes: Int = 4_194_304,
    val headerTimeoutMs: Long = 3_000,
    val idleTimeoutMs: Long = 15_000,
)

/** An organisation and its API keys. [priority], when set, overrides that of the route. */
@Serializable
data class Organisation(val id: OrganisationId, val apiKeys: List<String>, val priority: Int? = null)

/** A complete configuration. A higher [version] is newer. */
@Serializable
data class ServingConfig(
    val version: Long,
    val routes: List<Route>,
    val services: List<Service>,
    val limits: CallerLimits,
    val organisations: List<Organisation>,
)
