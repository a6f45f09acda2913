package io.oriolehall.model

import kotlinx.serialization.Serializable

/**
 * An entry instance as the platform's list or a peer describes it.
 *
 * @property peerAddress where the instance listens for other instances.
 * @property leaving true when the platform has announced that the instance will stop.
 */
@Serializable
data class Instance(
    val id: InstanceId,
    val zone: ZoneId,
    val peerAddress: NetworkAddress,
    val leaving: Boolean = false,
)
