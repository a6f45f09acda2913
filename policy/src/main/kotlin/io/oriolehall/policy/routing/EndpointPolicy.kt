package io.oriolehall.policy.routing

import io.oriolehall.model.Endpoint
import io.oriolehall.model.LoadReport
import io.oriolehall.model.OrganisationId
import io.oriolehall.model.ZoneId

/**
 * An endpoint that can run a stage, and its load as known to this instance.
 *
 * @property outstanding calls of this instance to the endpoint that have not finished.
 * @property report newest load report, which may be seconds old; null if there is none.
 */
data class Candidate(val endpoint: Endpoint, val outstanding: Int, val report: LoadReport? = null)

/**
 * The properties of a stage call that are available when its endpoint is chosen.
 *
 * @property zone zone of the instance that makes the call.
 * @property prefix start of the prompt, which engines may have cached.
 */
data class CallContext(val organisation: OrganisationId, val zone: ZoneId, val prefix: String)

/** Chooses the endpoint for a stage call. Implementations have no side effects except on their own counters. */
fun interface EndpointPolicy {
    /** Returns one of [candidates], or null if there are none. */
    fun choose(candidates: List<Candidate>, context: CallContext): Candidate?
}
