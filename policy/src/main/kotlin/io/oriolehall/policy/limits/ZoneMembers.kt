package io.oriolehall.policy.limits

import io.oriolehall.model.InstanceId

/**
 * The member list that an instance keeps of its zone. Instances that are present and not leaving may own endpoints.
 * Instances seen within the last [retentionMs] milliseconds may vote. Instances that joined within that time may be
 * missing from the lists of other members.
 */
class ZoneMembers(private val self: InstanceId, private val retentionMs: Long = DEFAULT_RETENTION_MS) {
    private val lastSeenAtMs = mutableMapOf<InstanceId, Long>()
    private val joinedAtMs = mutableMapOf<InstanceId, Long>()
    private val departed = mutableSetOf<InstanceId>()
    private var ownerCandidates = setOf(self)
    private var joined = false

    /**
     * Marks this instance as joined. Instances that it sees for the first time after this call count as recent members;
     * those that it saw before the call were in the zone before it.
     */
    fun onJoined() {
        joined = true
    }

    /**
     * Updates the members from the newest list of [present] instances, which may still contain an instance that has
     * left the zone. Instances that are [leaving] own no endpoints, but hold credits and vote until they have left.
     */
    fun onMemberList(present: Set<InstanceId>, leaving: Set<InstanceId>, nowMs: Long) {
        (present - departed).forEach { recordSeen(it, nowMs) }
        ownerCandidates = (present - departed - leaving).ifEmpty { setOf(self) }
        if (self !in leaving) ownerCandidates = ownerCandidates + self
    }

    /** Records a message from [instance] itself. If it had left, it has been started again under the same ID. */
    fun onContact(instance: InstanceId, nowMs: Long) {
        departed -= instance
        recordSeen(instance, nowMs)
    }

    /** Removes an instance that has announced that it shuts down and holds no credits. */
    fun onLeave(instance: InstanceId) {
        departed += instance
        forget(instance)
        ownerCandidates = (ownerCandidates - instance).ifEmpty { setOf(self) }
    }

    /** The members that may own endpoints, those that may vote, and those that may be missing from other lists. */
    fun memberView(nowMs: Long): ZoneMemberView {
        lastSeenAtMs.filterValues { nowMs - it > retentionMs }.keys.forEach(::forget)
        val recent = joinedAtMs.filterValues { nowMs - it <= retentionMs }.keys - self
        return ZoneMemberView(ownerCandidates, lastSeenAtMs.keys + self, recent)
    }

    private fun recordSeen(instance: InstanceId, nowMs: Long) {
        if (instance !in lastSeenAtMs && joined) joinedAtMs[instance] = nowMs
        lastSeenAtMs[instance] = nowMs
    }

    private fun forget(instance: InstanceId) {
        lastSeenAtMs -= instance
        joinedAtMs -= instance
    }

    private companion object {
        const val DEFAULT_RETENTION_MS = 15_000L
    }
}
