package io.oriolehall.policy.routing

import io.oriolehall.policy.hashing.Rendezvous
import kotlin.math.ceil

/**
 * Prefers endpoints of this instance's zone, and sends calls whose prompts have the same prefix to the same one of
 * them, where the prefix may be cached, unless that endpoint has much more load than the others (consistent hashing
 * with bounded loads). The engines' caches are not queried, so the choice costs no messages and cannot rely on stale
 * data.
 *
 * @param loadFactor maximum ratio of an endpoint's outstanding calls to the mean of the eligible endpoints.
 * @param prefixWords number of words at the start of the prompt that are compared.
 */
class PrefixAffinityPolicy(
    private val loadFactor: Double = DEFAULT_LOAD_FACTOR,
    private val prefixWords: Int = DEFAULT_PREFIX_WORDS,
) : EndpointPolicy {
    override fun choose(candidates: List<Candidate>, context: CallContext): Candidate? {
        val eligible = candidates.filter { it.endpoint.zone == context.zone }.ifEmpty { candidates }
        val prefix = context.prefix.splitToSequence(' ').take(prefixWords).joinToString(" ")
        val loadLimit = ceil(
            loadFactor * (eligible.sumOf(Candidate::outstanding) + 1) / maxOf(1, eligible.size),
        ).toInt()
        return eligible
            .filter { it.outstanding < loadLimit }
            .ifEmpty { eligible }
            .maxByOrNull { Rendezvous.weight(prefix, it.endpoint.id.value) }
    }

    private companion object {
        const val DEFAULT_LOAD_FACTOR = 1.5
        const val DEFAULT_PREFIX_WORDS = 16
    }
}
