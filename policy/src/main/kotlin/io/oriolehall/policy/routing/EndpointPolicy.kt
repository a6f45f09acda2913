package io.oriolehall.policy.routing

import io.oriolehall.model.Endpoint
import io.oriolehall.model.LoadReport
import io.oriolehall.model.OrganisationId
import io.oriolehall.model.ZoneId

/**
 * An endpoint that may run a stage, with what this instance knows of it.
 *
 * @property outstanding calls of this instance that have not ended.
 * @property report newest load report, which may be seconds old; null when there is none.
 */
data class Candidate(val endpoint: Endpoint, val outstanding: Int, val report: LoadReport? = null)

/**
 * What is known of a stage call when its endpoint is chosen.
 *
 * @property zone zone of the choosing instance.
 * @property prefix text at the start of the prompt, which engines may have cached.
 */
data class CallContext(val organisation: OrganisationId, val zone: ZoneId, val prefix: String)

/** Chooses the endpoint for a stage call. Implementations are pure but for their own counters. */
fun interface EndpointPolicy {
    /** One of [candidates], or null when it is empty. */
    fun choose(candidates: List<Candidate>, context: CallContext): Candidate?
}
