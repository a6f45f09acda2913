package io.oriolehall.entry

import io.oriolehall.entry.config.RejectedTicket
import io.oriolehall.entry.membership.PeerStatus
import io.oriolehall.entry.orders.OrderStatus
import io.oriolehall.model.Incarnation
import io.oriolehall.model.InstanceId
import io.oriolehall.model.ZoneId
import kotlinx.serialization.Serializable

/**
 * What an instance says of itself.
 *
 * @property highestTicket highest ticket number in force here; 0 before the first.
 * @property unfinishedRequests requests that still run here.
 * @property vouchesForNewKeys false while it has run for too short a time to witness keys that are made now.
 * @property notReadyBecause why the instance is not ready; null when it is.
 * @property platformRevision revision up to which the configuration service has been read, here or by a peer.
 * @property configDigest digest of the configuration in force; equal on instances with the same configuration.
 * @property peers the other instances as this one sees them.
 * @property engines the engines that this instance orders, and how far it is.
 */
@Serializable
data class InstanceStatus(
    val id: InstanceId,
    val zone: ZoneId,
    val incarnation: Incarnation,
    val ready: Boolean,
    val highestTicket: Long,
    val unfinishedRequests: Int,
    val vouchesForNewKeys: Boolean = true,
    val notReadyBecause: String? = null,
    val platformReachable: Boolean = false,
    val platformRevision: Long = 0,
    val configDigest: String = "",
    val rejectedTickets: List<RejectedTicket> = emptyList(),
    val peers: List<PeerStatus> = emptyList(),
    val engines: List<OrderStatus> = emptyList(),
)
