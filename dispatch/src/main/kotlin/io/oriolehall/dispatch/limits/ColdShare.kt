package io.oriolehall.dispatch.limits

import io.oriolehall.model.EndpointId
import io.oriolehall.model.InstanceId
import io.oriolehall.policy.hashing.Rendezvous

/**
 * Divides the requests that a cold endpoint bears in a second among all instances. With few instances each gets the
 * same part. Where it is below one request, only some instances send to the endpoint, by rendezvous hashing: all that
 * see the same instances choose alike without a message, and every instance reaches some endpoints of each service.
 *
 * @param instances all live instances.
 */
class ColdShare(private val self: InstanceId, private val instances: Set<InstanceId>) {
    private val shares = HashMap<Pair<EndpointId, Double>, Int>()

    /** Requests that this instance may send to [endpoint] in any second, of [perSecond] for all; 0 for none. */
    fun of(endpoint: EndpointId, perSecond: Double): Int = shares.getOrPut(endpoint to perSecond) {
        val equalPart = (perSecond / maxOf(1, instances.size)).toInt()
        if (equalPart >= 1) equalPart else singlePart(endpoint, perSecond)
    }

    private fun singlePart(endpoint: EndpointId, perSecond: Double): Int {
        val senders = (perSecond * SAFETY).toInt().coerceAtLeast(1)
        val own = Rendezvous.weight(endpoint.value, self.value)
        val before = instances.count { it != self && Rendezvous.weight(endpoint.value, it.value) > own }
        return if (before < senders) 1 else 0
    }

    private companion object {
        /** Part of the bound that is given out; the rest covers instances that see the fleet differently. */
        const val SAFETY = 0.8
    }
}
