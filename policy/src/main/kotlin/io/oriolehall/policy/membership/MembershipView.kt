package io.oriolehall.policy.membership

import io.oriolehall.model.Incarnation
import io.oriolehall.model.InstanceId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.ZoneId
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * An instance of the fleet as seen by the local instance.
 *
 * @property sinceMs when the local instance first saw this incarnation live, or live again after it had ended,
 *   monotonic milliseconds.
 * @property skewMs wall clock of the instance minus the local one, milliseconds, accurate to half a round trip; null
 *   when the local instance does not probe it.
 * @property cores processor cores that the instance may use.
 */
data class Member(
    val id: InstanceId,
    val zone: ZoneId,
    val address: NetworkAddress,
    val incarnation: Incarnation,
    val state: MemberState,
    val sinceMs: Long,
    val skewMs: Long? = null,
    val cores: Double = 1.0,
) {
    /** True when it may receive requests: it has neither been declared dead nor shut down. */
    val reachable: Boolean get() = state <= MemberState.LEAVING

    /** True when ownership may be assigned to it: it is live and not shutting down. */
    val canOwn: Boolean get() = state <= MemberState.SUSPECT
}

/**
 * An immutable snapshot of the fleet, including the local instance. The views of different instances may differ, so
 * at-most-once guarantees must not depend on a view alone.
 *
 * @property asOfMs monotonic time of the last round of probes, milliseconds.
 * @property confirmedSincePause false after a pause of this process until a peer has answered or no live peer is left.
 * @property superseded true when another process runs under the ID of this instance, so that this process takes no
 *   new work.
 */
data class MembershipView(
    val self: InstanceId,
    val zone: ZoneId,
    val members: PersistentMap<InstanceId, Member> = persistentMapOf(),
    val asOfMs: Long = 0,
    val confirmedSincePause: Boolean = true,
    val superseded: Boolean = false,
) {
    /**
     * True when ownership may be decided from this view at [nowMs]. It depends on the age of the view, so that it is
     * already false when the process resumes after a pause, before any timer has run.
     */
    fun isFresh(nowMs: Long, settings: MembershipSettings = MembershipSettings()): Boolean =
        confirmedSincePause && !superseded && nowMs - asOfMs <= settings.pauseThresholdMs

    fun member(id: InstanceId): Member? = members[id]

    /** Instances of [zone] with [Member.canOwn], sorted by ID. */
    fun ownerCandidates(
        zone: ZoneId,
    ): List<Member> = members.values.filter { it.zone == zone && it.canOwn }.sortedBy(Member::id)

    /** Instances of [zone] that are [Member.reachable], sorted by ID. */
    fun reachable(zone: ZoneId): List<Member> =
        members.values.filter { it.zone == zone && it.reachable }.sortedBy(Member::id)

    /** Zones of all members. */
    val zones: Set<ZoneId> get() = members.values.mapTo(sortedSetOf()) { it.zone }
}
