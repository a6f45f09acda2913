package io.oriolehall.policy.routing

/** Own zone first, then the endpoint with the fewest outstanding calls of this instance. */
class LeastOutstandingPolicy : EndpointPolicy {
    override fun choose(candidates: List<Candidate>, context: CallContext): Candidate? {
        val local = candidates.filter { it.endpoint.zone == context.zone }
        return local.ifEmpty { candidates }.minByOrNull(Candidate::outstanding)
    }
}
