package io.oriolehall.policy.routing

import kotlin.random.Random

/**
 * Prefers endpoints of this instance's zone. Draws two of them at random and chooses the one with fewer outstanding
 * calls of this instance.
 */
class PowerOfTwoPolicy(private val random: Random = Random.Default) : EndpointPolicy {
    override fun choose(candidates: List<Candidate>, context: CallContext): Candidate? {
        val eligible = candidates.filter { it.endpoint.zone == context.zone }.ifEmpty { candidates }
        if (eligible.isEmpty()) return null
        return minOf(eligible.random(random), eligible.random(random), compareBy(Candidate::outstanding))
    }
}
