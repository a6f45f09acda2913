package io.oriolehall.gateway.requests

import io.oriolehall.model.EndpointId
import io.oriolehall.model.ZoneId

/** Progress of a request, for its log entry. Times are milliseconds since its arrival. */
internal class RequestTrace {
    /** Time expected at admission for the stages and the first event; null for a request without stages. */
    var expectedMs: Long? = null

    /** Completion time of each stage, by its index. */
    val stageEndsMs = sortedMapOf<Int, Long>()

    /** Completion time of the last stage; null for a request without stages. */
    var stagesMs: Long? = null

    /** Time at which the response to the caller started. */
    var firstByteMs: Long? = null

    /** Status of the endpoint's error response that was forwarded to the caller; null if there was none. */
    var failureStatus: Int? = null

    /** Number of attempts at endpoints of the request's service. */
    var attempts = 0

    /** Why the last failed attempt was not retried; null when there was none or an attempt succeeded. */
    var retryObstacle: String? = null

    /** Endpoint of the last attempt, and its zone. */
    var endpoint: EndpointId? = null
    var endpointZone: ZoneId? = null

    /** Number of stage results that the endpoint fetched, by their zone. */
    var resultZones: Map<ZoneId, Int> = emptyMap()

    fun fields(): List<Pair<String, Any?>> = listOf(
        "expectedMs" to expectedMs,
        "stageEndsMs" to stageEndsMs.takeIf { it.isNotEmpty() },
        "stagesMs" to stagesMs,
        "firstMs" to firstByteMs,
        "failureStatus" to failureStatus,
        "sends" to attempts,
        "notSentAgain" to retryObstacle,
        "endpoint" to endpoint,
        "endpointZone" to endpointZone,
        "resultZones" to resultZones,
    )
}
