package io.oriolehall.entry.config

import io.oriolehall.model.Endpoint
import io.oriolehall.model.EndpointId
import io.oriolehall.policy.config.ConfigSnapshot
import io.oriolehall.runtime.TimerService
import java.util.concurrent.ConcurrentHashMap

/**
 * When endpoints came back into service here, by themselves or with their zone. A returned endpoint counts as cold
 * until it has proved otherwise.
 */
class ServiceReturns(private val timers: TimerService) {
    private val returnedAtMs = ConcurrentHashMap<EndpointId, Long>()

    /** Monotonic time at which [id] last came back into service, milliseconds; null when it has not been out. */
    fun returnedAtMs(id: EndpointId): Long? = returnedAtMs[id]

    internal fun note(before: ConfigSnapshot, after: ConfigSnapshot) {
        after.endpointsByPool.values.flatten()
            .filter { after.acceptsNewWork(it) && wasOut(before, it) }
            .forEach { returnedAtMs[it.id] = timers.nowMs() }
    }

    private fun wasOut(before: ConfigSnapshot, endpoint: Endpoint): Boolean =
        before.endpoint(endpoint.id)?.let { !before.acceptsNewWork(it) } ?: false
}
