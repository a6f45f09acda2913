package io.oriolehall.gateway.fleet

import io.oriolehall.dispatch.config.ConfigStamp
import io.oriolehall.dispatch.store.StorePosition
import io.oriolehall.gateway.feed.FeedSnapshot
import io.oriolehall.gateway.feed.PublishedChange
import io.oriolehall.model.Incarnation
import io.oriolehall.model.NetworkAddress
import io.oriolehall.peer.PeerChannel
import io.oriolehall.policy.membership.MemberRecord
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Message of a probe between instances, used for both the request and the answer.
 *
 * @property records member records that the sender disseminates; the first one describes the sender itself.
 * @property fleetDigest digest of the sender's view of the live members.
 * @property configRevision revision of the sender's configuration; 0 if it has none.
 * @property confirmedAgoMs milliseconds since that revision was last confirmed to be the newest; negative if the sender
 *   has no confirmation that is recent enough to be passed on.
 * @property era newest era of the store that the sender knows.
 * @property configVersion version of the sender's configuration; [NO_VERSION] if it has none, or is of a release that
 *   does not state it.
 * @property configEra era in which the item of that configuration was read.
 */
@Serializable
data class FleetGossip(
    @SerialName("r") val records: List<MemberRecord>,
    @SerialName("f") val fleetDigest: Int,
    @SerialName("c") val configRevision: Long,
    @SerialName("a") val confirmedAgoMs: Long,
    @SerialName("e") val era: Long = 0,
    @SerialName("v") val configVersion: Long = NO_VERSION,
    @SerialName("ce") val configEra: Long = 0,
) {
    val sender: MemberRecord get() = records.first()

    /** Identifies the sender's configuration; null if it states none. */
    val configStamp: ConfigStamp?
        get() = ConfigStamp(configVersion, StorePosition(configEra, configRevision)).takeIf { it.version != NO_VERSION }
}

/** Stands for the version of a configuration that is missing or not stated. */
internal const val NO_VERSION = -1L

/** Asks the receiver to probe the instance at [address] on behalf of the sender (an indirect probe). */
@Serializable
data class ProbeRequest(@SerialName("a") val address: NetworkAddress)

/** Result of an indirect probe: the answer of the probed instance, or null if it did not answer. */
@Serializable
data class ProbeAnswer(@SerialName("g") val gossip: FleetGossip? = null)

/** Asks the receiver for its complete state. */
@Serializable
data class StateQuery(@SerialName("d") val digest: Int = 0)

@Serializable
data class FleetRecords(@SerialName("r") val records: List<MemberRecord>)

/**
 * The sender's copy of the published state; [confirmedAgoMs] as in [FleetGossip].
 *
 * @property eraAgeMs milliseconds since the store came back in the era of the snapshot; negative if not known.
 */
@Serializable
data class StateAnswer(
    val snapshot: FeedSnapshot? = null,
    val confirmedAgoMs: Long = -1,
    val eraAgeMs: Long = -1,
)

/**
 * Asks the receiver for its changes after [position], a position in the journal of the receiver's [incarnation]; a null
 * incarnation asks for the complete state. The answer is sent at the first change, or after [waitMs] milliseconds.
 */
@Serializable
data class FollowQuery(
    @SerialName("l") val incarnation: Incarnation?,
    @SerialName("p") val position: Long,
    @SerialName("w") val waitMs: Long,
)

/**
 * Changes up to [position], or a full snapshot if the requested position is no longer retained.
 *
 * @property asOf platform revision, in [era], up to which the sender has applied all changes.
 * @property configRevision revision of the sender's configuration.
 * @property confirmedAgoMs milliseconds between the last confirmation that this revision is the newest and the arrival
 *   of the query; negative if the sender has no confirmation that is recent enough to be passed on.
 * @property platformAnsweredAgoMs milliseconds since the platform last answered the sender directly.
 */
@Serializable
data class FollowAnswer(
    @SerialName("l") val incarnation: Incarnation,
    @SerialName("p") val position: Long,
    @SerialName("r") val asOf: Long,
    @SerialName("c") val configRevision: Long,
    @SerialName("a") val confirmedAgoMs: Long,
    @SerialName("h") val platformAnsweredAgoMs: Long,
    @SerialName("n") val changes: List<PublishedChange> = emptyList(),
    @SerialName("s") val snapshot: FeedSnapshot? = null,
    @SerialName("e") val era: Long = 0,
    @SerialName("v") val configVersion: Long = NO_VERSION,
    @SerialName("ce") val configEra: Long = 0,
) {
    val storePosition: StorePosition get() = StorePosition(era, asOf)
    val configStamp: ConfigStamp get() = ConfigStamp(configVersion, StorePosition(configEra, configRevision))
}

internal object FleetChannels {
    val PROBE = PeerChannel.of<FleetGossip, FleetGossip>("fleet")
    val INDIRECT_PROBE = PeerChannel.of<ProbeRequest, ProbeAnswer>("fleet.help")
    val RECORDS = PeerChannel.of<StateQuery, FleetRecords>("fleet.records")
    val FOLLOW = PeerChannel.of<FollowQuery, FollowAnswer>("state.follow.2")
    val STATE = PeerChannel.of<StateQuery, StateAnswer>("state.2")
}
