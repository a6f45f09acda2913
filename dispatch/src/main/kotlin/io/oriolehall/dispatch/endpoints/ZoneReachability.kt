package io.oriolehall.dispatch.endpoints

import io.oriolehall.model.InstanceId
import io.oriolehall.model.ZoneId

/**
 * Judges which availability zones this instance can reach, from its own probes of instances there. A zone is taken for
 * unreachable when the last probes, of at least [MIN_SILENT] different instances, were not answered; one answer takes
 * that back. What a third instance reports does not count: when two zones cannot reach each other while a third one
 * reaches both, their instances are alive, but endpoints across the cut cannot be used from here.
 *
 * Answers load during a cut, when every instance would otherwise have to fail at every endpoint of the zone for itself.
 * The judgement is a preference: endpoints of an unreachable zone are still used where there are no others. Not
 * thread-safe.
 */
class ZoneReachability(private val ownZone: ZoneId) {
    private val silentByZone = HashMap<ZoneId, MutableSet<InstanceId>>()

    /** Zones that cannot be reached; a new set after each change. */
    var unreachable: Set<ZoneId> = emptySet()
        private set

    /** Records whether [instance] in [zone] answered a probe. */
    fun record(instance: InstanceId, zone: ZoneId, answered: Boolean) {
        if (zone == ownZone) return
        if (answered) silentByZone.remove(zone) else silentByZone.getOrPut(zone, ::mutableSetOf) += instance
        val now = silentByZone.filterValues { it.size >= MIN_SILENT }.keys.toSet()
        if (now != unreachable) unreachable = now
    }

    private companion object {
        /** One silent instance may have failed by itself. */
        const val MIN_SILENT = 2
    }
}
