package io.oriolehall.gateway.requests

import io.oriolehall.model.EndpointId
import io.oriolehall.model.ZoneId

/** What has become of a request so far, for its line in the log. Times are milliseconds since its arrival. */
internal class RequestTrace {
    /** Time that stages and first event were expected to take at the door; null for a request without stages. */
    var expectedMs: Long? = null

    /** When each stage had its results, by its index. */
    val stageEndsMs = sortedMapOf<Int, Long>()

    /** When the last stage had its results; null for a request without stages. */
    var stagesMs: Long? = null

    /** When the first bytes of the answer went to the caller. */
    var firstMs: Long? = null

    /** Status of an endpoint's failure that was passed on to the caller; null for any other end. */
    var failureStatus: Int? = null

    /** Number of sends to endpoints of the request's service. */
    var sends = 0

    /** Why the last failure was not followed by another send; null when there was none. */
    var notSentAgain: String? = null

    /** Endpoint of the last send, and its zone. */
    var endpoint: EndpointId? = null
    var endpointZone: ZoneId? = null

    /** Zones of the stage results that the endpoint fetched, with their number. */
    var resultZones: Map<ZoneId, Int> = emptyMap()

    fun fields(): List<Pair<String, Any?>> = listOf(
        "expectedMs" to expectedMs,
        "stageEndsMs" to stageEndsMs.takeIf { it.isNotEmpty() },
        "stagesMs" to stagesMs,
        "firstMs" to firstMs,
        "failureStatus" to failureStatus,
        "sends" to sends,
        "notSentAgain" to notSentAgain,
        "endpoint" to endpoint,
        "endpointZone" to endpointZone,
        "resultZones" to resultZones,
    )
}
