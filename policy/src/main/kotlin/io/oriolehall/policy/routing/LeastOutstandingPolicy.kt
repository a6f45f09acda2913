package io.oriolehall.policy.routing

/**
 * Prefers endpoints of this instance's zone, and among those the one with the fewest outstanding calls of this
 * instance.
 */
class LeastOutstandingPolicy : EndpointPolicy {
    override fun choose(candidates: List<Candidate>, context: CallContext): Candidate? {
        val sameZone = candidates.filter { it.endpoint.zone == context.zone }
        return sameZone.ifEmpty { candidates }.minByOrNull(Candidate::outstanding)
    }
}
