package io.oriolehall.entry.cost

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Tags
import io.oriolehall.model.OrganisationId
import io.oriolehall.model.Usage
import io.oriolehall.policy.limits.CallResult

/** What stages cost, by stage and organisation, as counters. Times are milliseconds. */
class CostMetrics(private val registry: MeterRegistry) {
    /** Counts a call that ended with [result] after [tookMs] as this instance saw it, and what the endpoint charged. */
    fun count(stage: String, organisation: OrganisationId, result: CallResult, tookMs: Long, usage: Usage) {
        val tags = Tags.of("stage", stage, "organisation", organisation.value)
        registry.counter("oriolehall.stage.calls", tags.and("result", result.name.lowercase())).increment()
        registry.counter("oriolehall.stage.busy.ms", tags).increment(usage.busyMs)
        if (result != CallResult.COMPLETED) {
            registry.counter("oriolehall.stage.wasted.ms", tags).increment(tookMs.toDouble())
        }
        addTokens(tags, "prompt", usage.promptTokens)
        addTokens(tags, "cached", usage.cachedTokens)
        addTokens(tags, "output", usage.outputTokens)
    }

    private fun addTokens(tags: Tags, kind: String, tokens: Int) {
        if (tokens > 0) registry.counter("oriolehall.stage.tokens", tags.and("kind", kind)).increment(tokens.toDouble())
    }
}
