package io.oriolehall.gateway.requests

import io.oriolehall.dispatch.endpoints.SendDecision
import io.oriolehall.dispatch.placement.PlacementCandidate
import io.oriolehall.gateway.upstream.EndpointPool

/**
 * The decision about each endpoint of a service for one request.
 *
 * @property candidates endpoints of the lowest rank, among which the placement chooses.
 * @property chosen the endpoint that receives the request; null if no endpoint may receive it.
 */
internal class EndpointEvaluation(
    val decisions: List<Entry>,
    val candidates: List<PlacementCandidate>,
    val chosen: EndpointPool?,
) {
    /**
     * The decision about one endpoint.
     *
     * @property coldShare requests per second that this instance may send to it; null if its service has no limit for
     *   cold endpoints.
     */
    class Entry(val pool: EndpointPool, val decision: SendDecision, val coldShare: Int?)
}
