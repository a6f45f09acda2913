package io.oriolehall.policy.limits

import io.oriolehall.model.EndpointId
import io.oriolehall.model.InstanceId

/** Rendezvous hashing: each member has a weight for each endpoint, and the highest owns it. */
object Rendezvous {
    /** The owner of [endpoint] among [members]; null when there are none. */
    fun owner(endpoint: EndpointId, members: Collection<InstanceId>): InstanceId? =
        members.maxWithOrNull(compareBy<InstanceId> { weight(it.value, endpoint.value) }.thenBy { it })

    /** Weight of [member] for [key]: FNV-1a over both, then a finishing mix so that close names spread. */
    fun weight(member: String, key: String): Long {
        var hash = FNV_OFFSET
        for (char in "$member\u0000$key") {
            hash = (hash xor char.code.toLong()) * FNV_PRIME
        }
        hash = (hash xor (hash ushr MIX_SHIFT)) * MIX_FACTOR
        return hash xor (hash ushr MIX_SHIFT)
    }

    private const val FNV_OFFSET = -3750763034362895579L
    private const val FNV_PRIME = 1099511628211L
    private const val MIX_FACTOR = -49064778989728563L
    private const val MIX_SHIFT = 33
}
