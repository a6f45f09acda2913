package io.oriolehall.policy.membership

import io.oriolehall.model.Incarnation
import io.oriolehall.model.Instance
import io.oriolehall.model.InstanceId
import io.oriolehall.model.NetworkAddress
import kotlinx.collections.immutable.toPersistentMap
import kotlin.random.Random

/**
 * The member list of one instance and its failure detector, based on SWIM. In each round it probes a few instances. If
 * one does not answer, helpers probe it; if they get no answer either, it becomes suspect, and it is declared dead
 * unless it refutes the suspicion in time. Records are gossiped with the probes.
 *
 * This class does no I/O: the service that uses it sends the probes and reports the answers. Not thread-safe.
 *
 * All times are monotonic milliseconds of this process.
 */
class Membership(
    private val self: Instance,
    private val incarnation: Incarnation,
    private val settings: MembershipSettings = MembershipSettings(),
    random: Random = Random.Default,
    nowMs: Long,
) {
    private class Entry(var record: MemberRecord, var sinceMs: Long) {
        var silentSinceMs: Long? = null
        var endedAtMs: Long? = null
        var skewMs: Long? = null
    }

    private val entries = mutableMapOf<InstanceId, Entry>()
    private val updates = UpdateQueue()
    private val schedule = ProbeSchedule(self, settings, random)
    private val startedMs = nowMs
    private var lastRoundMs = nowMs
    private var confirmedSincePause = true
    private var joined = false

    /** Record of this instance. */
    var ownRecord = MemberRecord(self, incarnation, incarnation.startedAtMs)
        private set(value) {
            field = value
            revision++
        }

    /** Increases with every change to the records, so that what is derived from them is computed only once. */
    var revision = 0L
        private set

    private var digestRevision = -1L
    private var cachedDigest = 0

    /** True when another process runs under the ID of this instance, so that this process has to stop. */
    var superseded = false
        private set

    /** Length of the pause of this process that the last round detected, milliseconds; 0 if there was none. */
    var lastPauseMs = 0L
        private set

    /**
     * Starts a round: detects a pause of this process, declares instances dead that were silent for the whole suspicion
     * time, and returns the instances to probe.
     */
    fun beginRound(nowMs: Long): List<MemberRecord> {
        detectPause(nowMs)
        lastRoundMs = nowMs
        entries.values.filter { it.isOverdue(nowMs) }
            .forEach { replace(it, it.record.copy(state = MemberState.DEAD), nowMs) }
        val retentionStartMs = nowMs - settings.endedRetentionMs
        if (entries.values.removeIf { entry -> entry.endedAtMs?.let { it < retentionStartMs } ?: false }) revision++
        if (entries.values.none { it.record.state <= MemberState.LEAVING }) confirmedSincePause = true
        return schedule.next(entries.values.map(Entry::record))
    }

    /** Detects a pause of this process. The time of the pause does not count towards the suspicion time of others. */
    private fun detectPause(nowMs: Long) {
        val elapsed = nowMs - lastRoundMs
        lastPauseMs = if (elapsed > settings.pauseThresholdMs) elapsed else 0
        if (lastPauseMs == 0L) return
        confirmedSincePause = false
        for (entry in entries.values) {
            entry.silentSinceMs = entry.silentSinceMs?.plus(elapsed)
        }
    }

    private fun Entry.isOverdue(nowMs: Long): Boolean {
        val since = silentSinceMs ?: return false
        return record.state <= MemberState.LEAVING && nowMs - since >= settings.suspicionMs
    }

    /** Records an answer from [id]; [skewMs] estimates how far its clock is ahead of the clock of this instance. */
    fun recordAnswer(id: InstanceId, skewMs: Long) {
        confirmedSincePause = true
        val entry = entries[id] ?: return
        entry.skewMs = skewMs
        if (entry.record.state != MemberState.SUSPECT) entry.silentSinceMs = null
    }

    /** Records that neither this instance nor its helpers got an answer from [id]. */
    fun recordSilence(id: InstanceId, nowMs: Long) {
        val entry = entries[id] ?: return
        if (entry.silentSinceMs == null) entry.silentSinceMs = nowMs
        if (entry.record.state != MemberState.ALIVE) return
        replace(entry, entry.record.copy(state = MemberState.SUSPECT), nowMs)
    }

    /** Merges records from a peer. Returns those that were not ignored. */
    fun merge(
        records: Collection<MemberRecord>,
        nowMs: Long,
    ): List<MemberRecord> = records.filter { mergeOne(it, nowMs) }

    private fun mergeOne(record: MemberRecord, nowMs: Long): Boolean {
        if (record.id == self.id) return mergeOwn(record)
        val entry = entries[record.id]
        if (entry != null && !record.supersedes(entry.record)) return false
        if (entry == null) {
            entries[record.id] = Entry(record, nowMs).also { it.updateStateTimes(record, nowMs) }
            updates.add(record)
            revision++
        } else {
            replace(entry, record, nowMs)
        }
        return true
    }

    /**
     * Merges a record with the ID of this instance. After [join], a live process with a greater incarnation
     * supersedes this one; before that, this process takes over the ID in any case. Any other record that supersedes
     * [ownRecord] is refuted with a higher epoch.
     */
    private fun mergeOwn(record: MemberRecord): Boolean {
        val fromOtherProcess = record.incarnation != incarnation
        if (fromOtherProcess && joined && record.incarnation > incarnation) {
            if (record.state <= MemberState.LEAVING) superseded = true
            return superseded
        }
        if (!record.supersedes(ownRecord)) return false
        ownRecord = ownRecord.copy(epoch = record.epoch + 1)
        updates.add(ownRecord)
        return true
    }

    private fun replace(entry: Entry, record: MemberRecord, nowMs: Long) {
        val before = entry.record
        val recovered = before.state > MemberState.LEAVING && record.state <= MemberState.LEAVING
        if (recovered || before.incarnation != record.incarnation) entry.sinceMs = nowMs
        entry.record = record
        entry.updateStateTimes(record, nowMs)
        updates.add(record)
        revision++
    }

    private fun Entry.updateStateTimes(record: MemberRecord, nowMs: Long) {
        silentSinceMs = if (record.state == MemberState.SUSPECT) silentSinceMs ?: nowMs else null
        endedAtMs = if (record.state > MemberState.LEAVING) endedAtMs ?: nowMs else null
    }

    /** Ends the startup phase in which this process takes over its ID from any other process. */
    fun join() {
        joined = true
        updates.add(ownRecord)
    }

    /** Announces that this instance is shutting down and takes no new ownership. */
    fun leave() = announce(MemberState.LEAVING)

    /** Announces that this instance has shut down. */
    fun stop() = announce(MemberState.LEFT)

    private fun announce(state: MemberState) {
        ownRecord = ownRecord.copy(state = state, instance = ownRecord.instance.copy(leaving = true))
        updates.add(ownRecord)
    }

    /**
     * Records to send to [to]: the record of this instance, pending updates, and the stored record of [to] if its state
     * is not alive or if it differs from [reportedByTarget], the record that [to] has just sent of itself.
     */
    fun recordsFor(to: InstanceId?, reportedByTarget: MemberRecord? = null): List<MemberRecord> {
        val stored = to?.let { entries[it]?.record }
        val disputed = stored?.takeIf {
            it.state != MemberState.ALIVE || (reportedByTarget != null && it != reportedByTarget)
        }
        val pendingUpdates = updates.take(settings.updatesPerMessage, entries.size + 1)
        return (listOfNotNull(ownRecord, disputed) + pendingUpdates).distinctBy(MemberRecord::id)
    }

    /** Helpers for an indirect probe of [target]: live instances, those in neither of the two zones first. */
    fun helpers(target: MemberRecord, random: Random): List<MemberRecord> = entries.values
        .map(Entry::record)
        .filter { it.state == MemberState.ALIVE && it.id != target.id }
        .shuffled(random)
        .sortedBy { it.instance.zone == self.zone || it.instance.zone == target.instance.zone }
        .take(settings.helpers)

    /** All records; sent to a peer whose [digest] differs. */
    fun allRecords(): List<MemberRecord> = entries.values.map(Entry::record) + ownRecord

    /** Digest of the live records; equal on instances whose live records are equal. */
    fun digest(): Int {
        if (digestRevision != revision) {
            cachedDigest = allRecords().filter { it.state <= MemberState.LEAVING }.sumOf(::hashOf)
            digestRevision = revision
        }
        return cachedDigest
    }

    private fun hashOf(record: MemberRecord): Int =
        (record.id.value.hashCode() * HASH_MULTIPLIER + record.epoch.hashCode()) * HASH_MULTIPLIER +
            record.state.ordinal

    /** Address of [id], or null if it is unknown. */
    fun addressOf(id: InstanceId): NetworkAddress? = entries[id]?.record?.instance?.peerAddress

    /** Snapshot of the fleet for request processing and ownership decisions. */
    fun view(): MembershipView = MembershipView(
        self = self.id,
        zone = self.zone,
        members = (entries.values.map(::toMember) + ownMember()).associateBy(Member::id).toPersistentMap(),
        asOfMs = lastRoundMs,
        confirmedSincePause = confirmedSincePause,
        superseded = superseded,
    )

    private fun ownMember() = toMember(Entry(ownRecord, startedMs).also { it.skewMs = 0 })

    private fun toMember(entry: Entry) = Member(
        id = entry.record.id,
        zone = entry.record.instance.zone,
        address = entry.record.instance.peerAddress,
        incarnation = entry.record.incarnation,
        state = entry.record.state,
        sinceMs = entry.sinceMs,
        skewMs = entry.skewMs,
        cores = entry.record.instance.cores,
    )

    private companion object {
        const val HASH_MULTIPLIER = 31
    }
}
