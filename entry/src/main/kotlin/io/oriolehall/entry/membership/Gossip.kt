package io.oriolehall.entry.membership

import io.oriolehall.model.NetworkAddress
import io.oriolehall.peer.PeerChannel
import io.oriolehall.policy.membership.MemberRecord
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A probe and also its answer. Names of fields are short on the wire because each instance sends a few a second.
 *
 * @property records what the sender has to say of the fleet; the first one is of itself.
 * @property fleetDigest digest of the live members as the sender knows them.
 * @property configDigest digest of the sender's configuration.
 * @property highestTicket highest ticket in force at the sender.
 * @property platformReachable whether the sender can read the configuration service.
 * @property wallClockMs the sender's wall clock, milliseconds since the epoch.
 */
@Serializable
data class Gossip(
    @SerialName("r") val records: List<MemberRecord>,
    @SerialName("f") val fleetDigest: Int,
    @SerialName("c") val configDigest: Long,
    @SerialName("t") val highestTicket: Long,
    @SerialName("p") val platformReachable: Boolean,
    @SerialName("w") val wallClockMs: Long,
) {
    val sender: MemberRecord get() = records.first()
}

/** Asks for a probe of the instance at [address], as published. */
@Serializable
internal data class ProbeRequest(val address: NetworkAddress)

/** Whether the probed instance answered, and what it said. */
@Serializable
internal data class ProbeAnswer(val gossip: Gossip?)

/** Asks for all records that the answering instance holds. */
@Serializable
internal data class FleetQuery(val digest: Int)

/** Records of the fleet. */
@Serializable
internal data class FleetRecords(val records: List<MemberRecord>)

internal object MembershipChannels {
    val PROBE = PeerChannel.of<Gossip, Gossip>("members")
    val HELP = PeerChannel.of<ProbeRequest, ProbeAnswer>("members.help")
    val FLEET = PeerChannel.of<FleetQuery, FleetRecords>("members.fleet")
}
