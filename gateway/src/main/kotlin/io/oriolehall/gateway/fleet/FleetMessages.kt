package io.oriolehall.gateway.fleet

import io.oriolehall.gateway.feed.FeedSnapshot
import io.oriolehall.gateway.feed.PublishedChange
import io.oriolehall.model.Incarnation
import io.oriolehall.model.NetworkAddress
import io.oriolehall.peer.PeerChannel
import io.oriolehall.policy.membership.MemberRecord
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A probe between instances and also its answer.
 *
 * @property records what the sender has to say of the fleet; the first one is of itself.
 * @property fleetDigest digest of the live members as the sender knows them.
 * @property configRevision revision of the sender's configuration; 0 when it has none.
 * @property confirmedAgoMs how long ago that revision was known to be the newest; negative when keys are suspended.
 */
@Serializable
data class FleetGossip(
    @SerialName("r") val records: List<MemberRecord>,
    @SerialName("f") val fleetDigest: Int,
    @SerialName("c") val configRevision: Long,
    @SerialName("a") val confirmedAgoMs: Long,
) {
    val sender: MemberRecord get() = records.first()
}

/** Asks for a probe of the instance at [address]. */
@Serializable
data class ProbeRequest(@SerialName("a") val address: NetworkAddress)

/** What the probed instance said; null when it did not answer. */
@Serializable
data class ProbeAnswer(@SerialName("g") val gossip: FleetGossip? = null)

/** Asks for everything that the instance knows. */
@Serializable
data class StateQuery(@SerialName("d") val digest: Int = 0)

@Serializable
data class FleetRecords(@SerialName("r") val records: List<MemberRecord>)

/** Published state as an instance knows it; [confirmedAgoMs] as in [FleetGossip]. */
@Serializable
data class StateAnswer(val snapshot: FeedSnapshot? = null, val confirmedAgoMs: Long = -1)

/**
 * Asks for what has changed at the asked instance since [position], which is its own numbering of the life [life]; null
 * for everything. The answer comes with the first change, or after [waitMs] milliseconds.
 */
@Serializable
data class FollowQuery(
    @SerialName("l") val life: Incarnation?,
    @SerialName("p") val position: Long,
    @SerialName("w") val waitMs: Long,
)

/**
 * Changes up to [position], or everything where the position that was asked for is not known any more.
 *
 * @property asOf revision of the platform up to which the answering instance knows all.
 * @property configRevision revision of its configuration.
 * @property confirmedAgoMs how long before the query came that revision was known to be the newest; negative when keys
 *   are suspended.
 * @property heardAgoMs how long ago the platform answered that instance itself, milliseconds.
 */
@Serializable
data class FollowAnswer(
    @SerialName("l") val life: Incarnation,
    @SerialName("p") val position: Long,
    @SerialName("r") val asOf: Long,
    @SerialName("c") val configRevision: Long,
    @SerialName("a") val confirmedAgoMs: Long,
    @SerialName("h") val heardAgoMs: Long,
    @SerialName("n") val changes: List<PublishedChange> = emptyList(),
    @SerialName("s") val snapshot: FeedSnapshot? = null,
)

internal object FleetChannels {
    val PROBE = PeerChannel.of<FleetGossip, FleetGossip>("fleet")
    val HELP = PeerChannel.of<ProbeRequest, ProbeAnswer>("fleet.help")
    val RECORDS = PeerChannel.of<StateQuery, FleetRecords>("fleet.records")
    val FOLLOW = PeerChannel.of<FollowQuery, FollowAnswer>("state.follow")
    val STATE = PeerChannel.of<StateQuery, StateAnswer>("state")
}
