package io.oriolehall.policy.membership

import io.oriolehall.model.Incarnation
import io.oriolehall.model.InstanceId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.ZoneId
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * An instance as this one sees it.
 *
 * @property sinceMs when this instance first saw this incarnation live, or live again, monotonic milliseconds.
 * @property skewMs its wall clock minus this instance's, milliseconds, estimated to half a round trip; null when this
 *   instance does not probe it.
 */
data class Member(
    val id: InstanceId,
    val zone: ZoneId,
    val address: NetworkAddress,
    val incarnation: Incarnation,
    val state: MemberState,
    val sinceMs: Long,
    val skewMs: Long? = null,
) {
    /** True when it may be asked: it has not been declared dead and has not stopped. */
    val reachable: Boolean get() = state <= MemberState.LEAVING

    /** True when it may own something: it is live and not leaving. */
    val ownable: Boolean get() = state <= MemberState.SUSPECT
}

/**
 * The instances of the fleet at one moment, this one among them. Views of different instances may differ; nothing that
 * must happen at most once may rest on a view alone.
 *
 * @property asOfMs monotonic time of the last round of probes, milliseconds.
 * @property refreshed false from a pause of this process until a peer has answered again or all are known to be dead.
 * @property superseded true when another process runs under this instance's name: this one takes no new work.
 */
data class MembershipView(
    val self: InstanceId,
    val zone: ZoneId,
    val members: PersistentMap<InstanceId, Member> = persistentMapOf(),
    val asOfMs: Long = 0,
    val refreshed: Boolean = true,
    val superseded: Boolean = false,
) {
    /**
     * True when ownership may be decided from this view at [nowMs]. It turns false by itself while the process is
     * paused, before any timer has run.
     */
    fun isFresh(nowMs: Long, settings: MembershipSettings = MembershipSettings()): Boolean =
        refreshed && !superseded && nowMs - asOfMs <= settings.pauseMs

    fun member(id: InstanceId): Member? = members[id]

    /** Instances of [zone] that may own something, by name. */
    fun owners(
        zone: ZoneId,
    ): List<Member> = members.values.filter { it.zone == zone && it.ownable }.sortedBy(Member::id)

    /** Instances of [zone] that may be asked, by name. */
    fun reachable(zone: ZoneId): List<Member> =
        members.values.filter { it.zone == zone && it.reachable }.sortedBy(Member::id)

    /** All zones with a known instance. */
    val zones: Set<ZoneId> get() = members.values.mapTo(sortedSetOf()) { it.zone }
}
