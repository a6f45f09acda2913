package io.oriolehall.policy.routing

import java.util.concurrent.atomic.AtomicInteger

/** Every candidate in turn. */
class RoundRobinPolicy : EndpointPolicy {
    private val turn = AtomicInteger()

    override fun choose(candidates: List<Candidate>, context: CallContext): Candidate? {
        if (candidates.isEmpty()) return null
        return candidates[Math.floorMod(turn.getAndIncrement(), candidates.size)]
    }
}
