package io.oriolehall.policy.routing

import kotlin.random.Random

/** Own zone first; there, the one with fewer outstanding calls of two endpoints drawn at random. */
class PowerOfTwoPolicy(private val random: Random = Random.Default) : EndpointPolicy {
    override fun choose(candidates: List<Candidate>, context: CallContext): Candidate? {
        val local = candidates.filter { it.endpoint.zone == context.zone }.ifEmpty { candidates }
        if (local.isEmpty()) return null
        return minOf(local.random(random), local.random(random), compareBy(Candidate::outstanding))
    }
}
