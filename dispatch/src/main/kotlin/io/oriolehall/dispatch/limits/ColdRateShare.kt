package io.oriolehall.dispatch.limits

import io.oriolehall.model.EndpointId
import io.oriolehall.model.InstanceId
import io.oriolehall.policy.hashing.Rendezvous

/**
 * Divides the requests that a cold endpoint can handle in a second among all instances. With few instances each gets an
 * equal share. Where that share is below one request, rendezvous hashing selects the instances that send to the
 * endpoint: instances with the same member list select the same senders without coordination, and every instance
 * reaches some endpoints of each service.
 *
 * @param instances all live instances.
 */
class ColdRateShare(private val self: InstanceId, private val instances: Set<InstanceId>) {
    private val shares = HashMap<EndpointId, Share>()
    private val ownHash = Rendezvous.hash(self.value)
    private val otherHashes = instances.filter { it != self }.map { Rendezvous.hash(it.value) }.toLongArray()

    private class Share(val perSecond: Double, val requests: Int)

    /**
     * Requests that this instance may send to [endpoint] in any second, out of [perSecond] for all instances. 0 means
     * that it may not send to the endpoint.
     */
    fun of(endpoint: EndpointId, perSecond: Double): Int {
        shares[endpoint]?.takeIf { it.perSecond == perSecond }?.let { return it.requests }
        val equalShare = (perSecond / maxOf(1, instances.size)).toInt()
        val requests = if (equalShare >= 1) equalShare else singleRequestShare(endpoint, perSecond)
        shares[endpoint] = Share(perSecond, requests)
        return requests
    }

    private fun singleRequestShare(endpoint: EndpointId, perSecond: Double): Int {
        val senderCount = (perSecond * ALLOCATED_SHARE).toInt().coerceAtLeast(1)
        val endpointHash = Rendezvous.hash(endpoint.value)
        val ownWeight = Rendezvous.weight(endpointHash, ownHash)
        val higherWeights = otherHashes.count { Rendezvous.weight(endpointHash, it) > ownWeight }
        return if (higherWeights < senderCount) 1 else 0
    }

    private companion object {
        /** Share of the capacity that is allocated; the rest covers instances whose member lists differ. */
        const val ALLOCATED_SHARE = 0.8
    }
}
