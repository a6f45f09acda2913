package io.oriolehall.policy.membership

import io.oriolehall.model.Instance
import io.oriolehall.model.InstanceId
import io.oriolehall.model.ZoneId
import io.oriolehall.policy.hashing.Rendezvous
import kotlin.random.Random

/**
 * Chooses whom to probe. In its own zone an instance goes through all others in random order, one a round. Of each
 * other zone it has a few links, chosen by rendezvous hashing, and probes one of all of these a round. The number of
 * probes a round is therefore the same for any size of the fleet, and no instance connects to all the others.
 */
internal class ProbeSchedule(
    private val self: Instance,
    private val settings: MembershipSettings,
    private val random: Random,
) {
    private val ownZone = ArrayDeque<InstanceId>()
    private val otherZones = ArrayDeque<InstanceId>()
    private val lost = ArrayDeque<InstanceId>()
    private var round = 0L

    /** Targets of the next round among [records], which leave out this instance. */
    fun next(records: Collection<MemberRecord>): List<MemberRecord> {
        round++
        val live = records.filter { it.state <= MemberState.LEAVING }
        val (near, far) = live.partition { it.instance.zone == self.zone }
        val targets = listOfNotNull(
            turn(ownZone, near),
            turn(otherZones, links(far)),
            if (round % ROUNDS_PER_RETRY == 0L) turn(lost, records - live.toSet()) else null,
        )
        return (targets + suspects(near + links(far))).distinctBy(MemberRecord::id)
    }

    /** The instances of other zones that this one exchanges with, among [far]. */
    private fun links(far: List<MemberRecord>): List<MemberRecord> =
        far.groupBy { it.instance.zone }.flatMap { (zone, records) -> linksOf(zone, records) }

    private fun linksOf(zone: ZoneId, records: List<MemberRecord>): List<MemberRecord> {
        val chosen = Rendezvous.ranked("link ${self.id} $zone", records.map(MemberRecord::id))
            .take(settings.linksPerZone)
        return records.filter { it.id in chosen }
    }

    private fun suspects(records: List<MemberRecord>): List<MemberRecord> =
        records.filter { it.state == MemberState.SUSPECT }.shuffled(random).take(settings.helpers)

    private fun turn(queue: ArrayDeque<InstanceId>, records: Collection<MemberRecord>): MemberRecord? {
        val byId = records.associateBy(MemberRecord::id)
        repeat(queue.size) {
            byId[queue.removeFirst()]?.let { return it }
        }
        queue.addAll(byId.keys.shuffled(random))
        return byId[queue.removeFirstOrNull()]
    }

    private companion object {
        const val ROUNDS_PER_RETRY = 3L
    }
}
