package io.oriolehall.policy.routing

import java.util.concurrent.atomic.AtomicInteger

/** Chooses the candidates in turn, regardless of zone and load. */
class RoundRobinPolicy : EndpointPolicy {
    private val nextIndex = AtomicInteger()

    override fun choose(candidates: List<Candidate>, context: CallContext): Candidate? {
        if (candidates.isEmpty()) return null
        return candidates[Math.floorMod(nextIndex.getAndIncrement(), candidates.size)]
    }
}
