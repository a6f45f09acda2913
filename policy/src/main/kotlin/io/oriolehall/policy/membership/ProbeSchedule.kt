package io.oriolehall.policy.membership

import io.oriolehall.model.Instance
import io.oriolehall.model.InstanceId
import io.oriolehall.model.ZoneId
import io.oriolehall.policy.hashing.Rendezvous
import kotlin.random.Random

/**
 * Chooses the instances to probe. In its own zone, an instance probes all others in random order, one per round. In
 * each other zone, it is linked to a few instances chosen by rendezvous hashing, and probes one of all its links per
 * round. The number of probes per round is therefore independent of the fleet size, and no instance connects to all
 * others.
 */
internal class ProbeSchedule(
    private val self: Instance,
    private val settings: MembershipSettings,
    private val random: Random,
) {
    private val ownZoneQueue = ArrayDeque<InstanceId>()
    private val linkQueue = ArrayDeque<InstanceId>()
    private val endedQueue = ArrayDeque<InstanceId>()
    private val linksByZone = HashMap<ZoneId, Links>()
    private var round = 0L

    /** The links to a zone, and the members of the zone from which they were chosen. */
    private class Links(val candidates: Set<InstanceId>, val chosen: Set<InstanceId>)

    /** Targets of the next round among [records], which do not include this instance. */
    fun next(records: Collection<MemberRecord>): List<MemberRecord> {
        round++
        val live = records.filter { it.state <= MemberState.LEAVING }
        val (inOwnZone, inOtherZones) = live.partition { it.instance.zone == self.zone }
        val targets = listOfNotNull(
            nextInRotation(ownZoneQueue, inOwnZone),
            nextInRotation(linkQueue, links(inOtherZones)),
            if (round % ROUNDS_PER_ENDED_PROBE == 0L) nextInRotation(endedQueue, records - live.toSet()) else null,
        )
        return (targets + suspects(inOwnZone + links(inOtherZones))).distinctBy(MemberRecord::id)
    }

    /** The instances in other zones that this instance is linked to, among [inOtherZones]. */
    private fun links(inOtherZones: List<MemberRecord>): List<MemberRecord> =
        inOtherZones.groupBy { it.instance.zone }.flatMap { (zone, records) -> linksOf(zone, records) }

    private fun linksOf(zone: ZoneId, records: List<MemberRecord>): List<MemberRecord> {
        val candidates = records.mapTo(HashSet(), MemberRecord::id)
        val links = linksByZone[zone]?.takeIf { it.candidates == candidates } ?: chooseLinks(zone, candidates)
        return records.filter { it.id in links.chosen }
    }

    private fun chooseLinks(zone: ZoneId, candidates: Set<InstanceId>): Links {
        val ranked = Rendezvous.rankedInstances("link ${self.id} $zone", candidates)
        return Links(candidates, ranked.take(settings.linksPerZone).toSet()).also { linksByZone[zone] = it }
    }

    private fun suspects(records: List<MemberRecord>): List<MemberRecord> =
        records.filter { it.state == MemberState.SUSPECT }.shuffled(random).take(settings.helpers)

    private fun nextInRotation(queue: ArrayDeque<InstanceId>, records: Collection<MemberRecord>): MemberRecord? {
        val byId = records.associateBy(MemberRecord::id)
        repeat(queue.size) {
            byId[queue.removeFirst()]?.let { return it }
        }
        queue.addAll(byId.keys.shuffled(random))
        return byId[queue.removeFirstOrNull()]
    }

    private companion object {
        const val ROUNDS_PER_ENDED_PROBE = 3L
    }
}
