package io.oriolehall.dispatch.endpoints

import io.oriolehall.dispatch.store.RestorePeriod
import io.oriolehall.model.ZoneId

/**
 * The zones that the operator evacuates. A listing of a restored copy ends no evacuation, and begins one that the
 * operator had recently ended only if it is still there when the operator has had time to end it again.
 *
 * All times are monotonic milliseconds. Not thread-safe.
 */
class EvacuatedZones {
    private val evacuated = mutableSetOf<ZoneId>()
    private val endedAtMs = mutableMapOf<ZoneId, Long>()
    private val deferredUntilMs = mutableMapOf<ZoneId, Long>()

    val zones: Set<ZoneId> get() = evacuated

    /** Zones whose evacuation has ended recently. */
    val ended: Set<ZoneId> get() = endedAtMs.keys

    /** Applies a write of the operator. */
    fun set(zone: ZoneId, on: Boolean, nowMs: Long) {
        deferredUntilMs.remove(zone)
        if (on) {
            endedAtMs.remove(zone)
            evacuated += zone
        } else if (evacuated.remove(zone)) {
            endedAtMs[zone] = nowMs
        }
    }

    /** Replaces the zones by [listed], all evacuations in the store. */
    fun replaceAll(listed: Collection<ZoneId>, nowMs: Long) {
        (evacuated - listed.toSet()).forEach { set(it, false, nowMs) }
        listed.forEach { set(it, true, nowMs) }
    }

    /** Applies [listed], the evacuations in a restored copy. Returns the zones that stay evacuated without the copy. */
    fun addFromCopy(listed: Collection<ZoneId>, nowMs: Long): Set<ZoneId> {
        for (zone in listed - evacuated) {
            if (zone in endedAtMs) {
                deferredUntilMs.putIfAbsent(zone, nowMs + RestorePeriod.REWRITE_MS)
            } else {
                evacuated += zone
            }
        }
        return evacuated - listed.toSet()
    }

    /** Notes that the evacuation of [zones] has ended, as another instance knows. */
    fun addEnded(zones: Collection<ZoneId>, nowMs: Long) =
        zones.filter { it !in evacuated }.forEach { endedAtMs.putIfAbsent(it, nowMs) }

    /** Begins the evacuations whose deferral is over. Returns their zones. */
    fun applyDue(nowMs: Long): List<ZoneId> {
        endedAtMs.values.removeIf { nowMs - it > RestorePeriod.MAX_COPY_AGE_MS }
        val due = deferredUntilMs.filterValues { it <= nowMs }.keys.toList()
        due.forEach { set(it, true, nowMs) }
        return due
    }
}
