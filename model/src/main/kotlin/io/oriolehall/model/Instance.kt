package io.oriolehall.model

import kotlinx.serialization.Serializable

/**
 * An entry instance, as described by the platform's instance list or by a peer.
 *
 * @property peerAddress address on which the instance accepts connections from other instances.
 * @property leaving true if the platform has announced that the instance will be stopped.
 * @property cores processor cores that the instance may use; a fraction of a core is possible.
 */
@Serializable
data class Instance(
    val id: InstanceId,
    val zone: ZoneId,
    val peerAddress: NetworkAddress,
    val leaving: Boolean = false,
    val cores: Double = 1.0,
)
