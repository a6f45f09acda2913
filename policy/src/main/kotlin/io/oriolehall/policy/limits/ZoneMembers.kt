package io.oriolehall.policy.limits

import io.oriolehall.model.InstanceId

/**
 * The instances of a zone as one of them knows them. Those that are thought live can own endpoints; those that were
 * heard of within [rememberMs] milliseconds can be voters; those that joined as lately as that may not be known to all.
 */
class ZoneMembers(private val self: InstanceId, private val rememberMs: Long = DEFAULT_REMEMBER_MS) {
    private val heardAtMs = mutableMapOf<InstanceId, Long>()
    private val newSinceMs = mutableMapOf<InstanceId, Long>()
    private val gone = mutableSetOf<InstanceId>()
    private var live = setOf(self)
    private var joined = false

    /** Ends the time in which every instance that is met was there before this one. */
    fun onJoined() {
        joined = true
    }

    /**
     * Notes the [present] instances of the newest list, which may still name one that has said goodbye. Those that are
     * [leaving] own nothing, but hold credits and vote until they have gone.
     */
    fun onList(present: Set<InstanceId>, leaving: Set<InstanceId>, nowMs: Long) {
        (present - gone).forEach { hear(it, nowMs) }
        live = (present - gone - leaving).ifEmpty { setOf(self) }
        if (self !in leaving) live = live + self
    }

    /** Notes that [instance] itself was heard, also after a goodbye: it has come back under its name. */
    fun onContact(instance: InstanceId, nowMs: Long) {
        gone -= instance
        hear(instance, nowMs)
    }

    /** Forgets an instance that has said that it stops and holds nothing. */
    fun onGoodbye(instance: InstanceId) {
        gone += instance
        forget(instance)
        live = (live - instance).ifEmpty { setOf(self) }
    }

    /** Who may own, who may vote, and who of these others may not know yet. */
    fun roll(nowMs: Long): ZoneRoll {
        heardAtMs.filterValues { nowMs - it > rememberMs }.keys.forEach(::forget)
        val recent = newSinceMs.filterValues { nowMs - it <= rememberMs }.keys - self
        return ZoneRoll(live, heardAtMs.keys + self, recent)
    }

    private fun hear(instance: InstanceId, nowMs: Long) {
        if (instance !in heardAtMs && joined) newSinceMs[instance] = nowMs
        heardAtMs[instance] = nowMs
    }

    private fun forget(instance: InstanceId) {
        heardAtMs -= instance
        newSinceMs -= instance
    }

    private companion object {
        const val DEFAULT_REMEMBER_MS = 15_000L
    }
}
