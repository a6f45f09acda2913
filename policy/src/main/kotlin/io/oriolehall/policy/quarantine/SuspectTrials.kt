package io.oriolehall.policy.quarantine

import io.oriolehall.model.EndpointId

/**
 * Lets one suspect at a time run at an endpoint. The endpoint's owner keeps it for all instances. A trial that is not
 * ended runs out. Not safe for use by several threads.
 */
class SuspectTrials {
    private class Trial(val fingerprint: Fingerprint, val untilMs: Long)

    private val running = mutableMapOf<EndpointId, Trial>()

    /** Lets [fingerprint] run at [endpoint] for [lastsMs] milliseconds; false while another suspect does. */
    fun begin(endpoint: EndpointId, fingerprint: Fingerprint, lastsMs: Long, nowMs: Long): Boolean {
        val current = running[endpoint]
        if (current != null && current.untilMs > nowMs) return false
        running[endpoint] = Trial(fingerprint, nowMs + lastsMs)
        return true
    }

    /** Ends the trial of [fingerprint] at [endpoint]. */
    fun end(endpoint: EndpointId, fingerprint: Fingerprint) {
        if (running[endpoint]?.fingerprint == fingerprint) running -= endpoint
    }
}
