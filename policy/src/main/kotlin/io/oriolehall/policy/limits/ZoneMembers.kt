package io.oriolehall.policy.limits

import io.oriolehall.model.InstanceId

/**
 * The instances of a zone as one of them knows them. Those that are thought live can own endpoints; those that were
 * heard of within [rememberMs] milliseconds count in the share of an owner that not all of them follow.
 */
class ZoneMembers(private val self: InstanceId, private val rememberMs: Long = DEFAULT_REMEMBER_MS) {
    private val heardAtMs = mutableMapOf<InstanceId, Long>()
    private val gone = mutableSetOf<InstanceId>()
    private var live = setOf(self)

    /** Instances that may own endpoints. */
    val owners: Set<InstanceId> get() = live

    /** Notes the live instances of the newest list, which may still name one that has said goodbye. */
    fun onList(instances: Set<InstanceId>, nowMs: Long) {
        live = instances - gone + self
        live.forEach { heardAtMs[it] = nowMs }
    }

    /** Notes that [instance] itself was heard, also after a goodbye: it has come back under its name. */
    fun onContact(instance: InstanceId, nowMs: Long) {
        gone -= instance
        heardAtMs[instance] = nowMs
    }

    /** Forgets an instance that has said that it stops and holds nothing. */
    fun onGoodbye(instance: InstanceId) {
        gone += instance
        heardAtMs -= instance
        live = live - instance + self
    }

    /** Every instance that may hold credits. */
    fun known(nowMs: Long): Set<InstanceId> {
        heardAtMs.values.removeIf { nowMs - it > rememberMs }
        return heardAtMs.keys + self
    }

    private companion object {
        const val DEFAULT_REMEMBER_MS = 15_000L
    }
}
