package io.oriolehall.policy.routing

import io.oriolehall.policy.limits.Rendezvous
import kotlin.math.ceil

/**
 * Own zone first; there, calls whose prompts begin alike go to the same endpoint, where the prefix may be cached, as
 * long as that endpoint has not much more to do than the others (consistent hashing with bounded loads). The cache
 * itself is not asked: the hint costs no messages and cannot be stale.
 *
 * @param slack how many times the mean of the outstanding calls an endpoint may have.
 * @param prefixWords words at the start of the prompt that count.
 */
class PrefixAffinityPolicy(
    private val slack: Double = DEFAULT_SLACK,
    private val prefixWords: Int = DEFAULT_PREFIX_WORDS,
) : EndpointPolicy {
    override fun choose(candidates: List<Candidate>, context: CallContext): Candidate? {
        val local = candidates.filter { it.endpoint.zone == context.zone }.ifEmpty { candidates }
        val prefix = context.prefix.splitToSequence(' ').take(prefixWords).joinToString(" ")
        val bound = ceil(slack * (local.sumOf(Candidate::outstanding) + 1) / maxOf(1, local.size)).toInt()
        return local
            .filter { it.outstanding < bound }
            .ifEmpty { local }
            .maxByOrNull { Rendezvous.weight(it.endpoint.id.value, prefix) }
    }

    private companion object {
        const val DEFAULT_SLACK = 1.5
        const val DEFAULT_PREFIX_WORDS = 16
    }
}
