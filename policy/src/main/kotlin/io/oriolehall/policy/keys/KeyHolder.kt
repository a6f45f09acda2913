package io.oriolehall.policy.keys

import io.oriolehall.model.Incarnation
import io.oriolehall.model.InstanceId
import io.oriolehall.model.NetworkAddress
import kotlinx.serialization.Serializable

/**
 * The only process that may run the request of a key, identified by an instance and its incarnation.
 *
 * @property peerAddress address at which other instances reach the process. After a restart another incarnation may
 *   answer there.
 */
@Serializable
data class KeyHolder(
    val instance: InstanceId,
    val incarnation: Incarnation,
    val peerAddress: NetworkAddress,
)
