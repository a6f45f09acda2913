package io.oriolehall.gateway.explain

import io.oriolehall.model.EndpointId
import io.oriolehall.model.InstanceId
import io.oriolehall.model.OrganisationId
import io.oriolehall.model.ZoneId
import kotlinx.serialization.Serializable

/**
 * What an instance would do now with one request, and why: the response to `GET /explain`. Contains no API keys.
 *
 * @property configuration the active configuration; null if there is none, and then nothing else is known.
 * @property services the target services of the route.
 * @property stageTime the comparison by which requests with stages are admitted; null if the request has no pieces.
 */
@Serializable
data class Explanation(
    val instance: InstanceId,
    val zone: ZoneId,
    val route: String,
    val admission: ExplainedAdmission,
    val organisation: OrganisationId? = null,
    val priority: Int? = null,
    val configuration: ExplainedConfiguration? = null,
    val services: List<ExplainedService> = emptyList(),
    val stages: List<ExplainedStage> = emptyList(),
    val stageTime: ExplainedStageTime? = null,
)

/** [confirmedMsAgo]: time since the configuration was last confirmed to be the newest, milliseconds. */
@Serializable
data class ExplainedConfiguration(val version: Long, val confirmedMsAgo: Long)

/**
 * @property refusalProbability probability that the request is refused, 0 to 1; it covers the random choices of the
 *   service and of stage admission.
 * @property refusals the reasons for which it is refused.
 */
@Serializable
data class ExplainedAdmission(
    val admitted: Boolean,
    val refusalProbability: Double,
    val refusals: List<ExplainedRefusal>,
)

/** [service] is the target service for which the refusal applies; null if it applies to all of them. */
@Serializable
data class ExplainedRefusal(val status: Int, val kind: String, val reason: String, val service: String? = null)

/**
 * @property share share of the requests of the route that go to this service, 0 to 1.
 * @property retriesLeft retries that this instance may still send to the service in the current window.
 * @property chosen endpoint that the placement chooses; null if no endpoint may receive the request.
 * @property waitsUpToMs how long the request waits for an endpoint to become free, milliseconds; null if it does not
 *   wait.
 */
@Serializable
data class ExplainedService(
    val service: String,
    val weight: Int,
    val share: Double,
    val retriesLeft: Int,
    val endpoints: List<ExplainedEndpoint>,
    val chosen: EndpointId? = null,
    val waitsUpToMs: Long? = null,
)

/**
 * @property allowed true when the request may be sent to the endpoint.
 * @property obstacle why it may not.
 * @property obstacleEndsInMs time until the obstacle ends, milliseconds; null if that is not known.
 * @property rank endpoints of the lowest rank are used, the others only if there are none.
 * @property outstanding unfinished requests of the instance at the endpoint.
 * @property slowness response time relative to that of its peers, plus the share of failures; null for an endpoint
 *   that is not a candidate of the placement.
 * @property coldShare requests per second that the instance may send to the endpoint; null if there is no limit.
 * @property coldSent requests of the instance that count towards [coldShare] now.
 */
@Serializable
data class ExplainedEndpoint(
    val endpoint: EndpointId,
    val zone: ZoneId,
    val allowed: Boolean,
    val obstacle: String? = null,
    val obstacleEndsInMs: Long? = null,
    val rank: Int? = null,
    val outstanding: Int,
    val slowness: Double? = null,
    val coldShare: Int? = null,
    val coldSent: Int? = null,
)

/**
 * @property owners owner of the stage queue and its deputy, in the order in which they are asked.
 * @property expectedMs expected time of the stage at the current load, milliseconds; 0 without pieces.
 */
@Serializable
data class ExplainedStage(
    val stage: Int,
    val service: String,
    val pieces: Int,
    val after: List<Int>,
    val owners: List<ExplainedQueueOwner>,
    val expectedMs: Long,
)

/** [silent]: it has not acknowledged a request lately, so it is not asked now. */
@Serializable
data class ExplainedQueueOwner(val instance: InstanceId, val zone: ZoneId, val silent: Boolean)

/**
 * @property expectedMs expected time of all stages and the first event, milliseconds.
 * @property objectiveMs time in which a response is not late; the probability rises with [expectedMs] relative to it.
 * @property maxExpectedMs expected time above which a request is refused in any case, milliseconds.
 */
@Serializable
data class ExplainedStageTime(
    val expectedMs: Long,
    val objectiveMs: Long,
    val maxExpectedMs: Long,
    val refusalProbability: Double,
)
