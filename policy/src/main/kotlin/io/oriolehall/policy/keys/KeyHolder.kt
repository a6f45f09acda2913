package io.oriolehall.policy.keys

import io.oriolehall.model.Incarnation
import io.oriolehall.model.InstanceId
import io.oriolehall.model.NetworkAddress
import kotlinx.serialization.Serializable

/**
 * The one process that may run the request of a key: an instance in one of its incarnations.
 *
 * @property peerAddress where other instances reach it; another incarnation may answer there after a restart.
 */
@Serializable
data class KeyHolder(
    val instance: InstanceId,
    val incarnation: Incarnation,
    val peerAddress: NetworkAddress,
)
