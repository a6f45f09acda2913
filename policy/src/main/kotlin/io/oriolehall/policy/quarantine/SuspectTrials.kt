package io.oriolehall.policy.quarantine

import io.oriolehall.model.EndpointId

/**
 * Ensures that at most one suspect request runs at an endpoint at a time. The owner of the endpoint manages the trials
 * for all instances. A trial that is not ended expires. Not thread-safe.
 */
class SuspectTrials {
    private class Trial(val fingerprint: Fingerprint, val expiresAtMs: Long)

    private val running = mutableMapOf<EndpointId, Trial>()

    /** Starts a trial of [fingerprint] at [endpoint] for [timeoutMs] milliseconds; returns false if one is running. */
    fun begin(endpoint: EndpointId, fingerprint: Fingerprint, timeoutMs: Long, nowMs: Long): Boolean {
        val current = running[endpoint]
        if (current != null && current.expiresAtMs > nowMs) return false
        running[endpoint] = Trial(fingerprint, nowMs + timeoutMs)
        return true
    }

    /** Ends the trial of [fingerprint] at [endpoint]. */
    fun end(endpoint: EndpointId, fingerprint: Fingerprint) {
        if (running[endpoint]?.fingerprint == fingerprint) running -= endpoint
    }
}
