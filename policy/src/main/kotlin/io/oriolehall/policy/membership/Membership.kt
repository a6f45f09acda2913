package io.oriolehall.policy.membership

import io.oriolehall.model.Incarnation
import io.oriolehall.model.Instance
import io.oriolehall.model.InstanceId
import io.oriolehall.model.NetworkAddress
import kotlinx.collections.immutable.toPersistentMap
import kotlin.random.Random

/**
 * What one instance knows of the fleet, and its failure detector, after SWIM: each round it probes a few others, asks
 * helpers where one is silent, suspects, and declares dead who did not refute in time. Records travel with the probes.
 * It does no I/O: its owner sends the probes and reports the answers. Not safe for use by several threads.
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
    private var refreshed = true
    private var joined = false

    /** This instance's own record. */
    var own = MemberRecord(self, incarnation, incarnation.startedAtMs)
        private set

    /** True when another process runs under this instance's name and this one has to stop. */
    var superseded = false
        private set

    /** Pause of this process that the last round noticed, milliseconds; 0 when there was none. */
    var lastPauseMs = 0L
        private set

    /**
     * Starts a round: notices a pause, declares silent suspects dead and returns the instances to probe.
     */
    fun beginRound(nowMs: Long): List<MemberRecord> {
        noticePause(nowMs)
        lastRoundMs = nowMs
        entries.values.filter {
            it.isOverdue(nowMs)
        }.forEach { replace(it, it.record.copy(state = MemberState.DEAD), nowMs) }
        entries.values.removeIf { entry -> entry.endedAtMs?.let { nowMs - it > settings.forgetMs } ?: false }
        if (entries.values.none { it.record.state <= MemberState.LEAVING }) refreshed = true
        return schedule.next(entries.values.map(Entry::record))
    }

    /** The pause counts against nobody: whoever seemed silent meanwhile gets the time back. */
    private fun noticePause(nowMs: Long) {
        val elapsed = nowMs - lastRoundMs
        lastPauseMs = if (elapsed > settings.pauseMs) elapsed else 0
        if (lastPauseMs == 0L) return
        refreshed = false
        for (entry in entries.values) {
            entry.silentSinceMs = entry.silentSinceMs?.plus(elapsed)
        }
    }

    private fun Entry.isOverdue(nowMs: Long): Boolean {
        val since = silentSinceMs ?: return false
        return record.state <= MemberState.LEAVING && nowMs - since >= settings.suspicionMs
    }

    /** Notes that [id] answered; [skewMs] is the estimate of its clock's lead. */
    fun answered(id: InstanceId, skewMs: Long) {
        refreshed = true
        val entry = entries[id] ?: return
        entry.skewMs = skewMs
        if (entry.record.state != MemberState.SUSPECT) entry.silentSinceMs = null
    }

    /** Notes that neither this instance nor its helpers got an answer from [id]. */
    fun silent(id: InstanceId, nowMs: Long) {
        val entry = entries[id] ?: return
        if (entry.silentSinceMs == null) entry.silentSinceMs = nowMs
        if (entry.record.state != MemberState.ALIVE) return
        replace(entry, entry.record.copy(state = MemberState.SUSPECT), nowMs)
    }

    /** Takes in what a peer says. Returns the records that were news. */
    fun merge(
        records: Collection<MemberRecord>,
        nowMs: Long,
    ): List<MemberRecord> = records.filter { mergeOne(it, nowMs) }

    private fun mergeOne(record: MemberRecord, nowMs: Long): Boolean {
        if (record.id == self.id) return mergeOwn(record)
        val entry = entries[record.id]
        if (entry != null && !record.supersedes(entry.record)) return false
        if (entry == null) {
            entries[record.id] = Entry(record, nowMs).also { it.noteState(record, nowMs) }
            updates.add(record)
        } else {
            replace(entry, record, nowMs)
        }
        return true
    }

    /**
     * Another process under this name is older unless its incarnation is greater; a process that has just started takes
     * its place in any case. What is said of this process is refuted with a higher epoch.
     */
    private fun mergeOwn(record: MemberRecord): Boolean {
        val foreign = record.incarnation != incarnation
        if (foreign && joined && record.incarnation > incarnation) {
            if (record.state <= MemberState.LEAVING) superseded = true
            return superseded
        }
        if (!record.supersedes(own)) return false
        own = own.copy(epoch = record.epoch + 1)
        updates.add(own)
        return true
    }

    private fun replace(entry: Entry, record: MemberRecord, nowMs: Long) {
        val before = entry.record
        val returned = before.state > MemberState.LEAVING && record.state <= MemberState.LEAVING
        if (returned || before.incarnation != record.incarnation) entry.sinceMs = nowMs
        entry.record = record
        entry.noteState(record, nowMs)
        updates.add(record)
    }

    private fun Entry.noteState(record: MemberRecord, nowMs: Long) {
        silentSinceMs = if (record.state == MemberState.SUSPECT) silentSinceMs ?: nowMs else null
        endedAtMs = if (record.state > MemberState.LEAVING) endedAtMs ?: nowMs else null
    }

    /** Ends the time in which this process may take the place of another under its name. */
    fun join() {
        joined = true
        updates.add(own)
    }

    /** Announces that this instance is leaving: it takes no more ownership. */
    fun leave() = announce(MemberState.LEAVING)

    /** Announces that this instance has stopped. */
    fun stop() = announce(MemberState.LEFT)

    private fun announce(state: MemberState) {
        own = own.copy(state = state, instance = own.instance.copy(leaving = true))
        updates.add(own)
    }

    /**
     * Records to send to [to]: this instance's own, what is still to be passed on, and what this instance holds of [to]
     * where that is not alive or differs from what [to] itself has just [claimed].
     */
    fun outgoing(to: InstanceId?, claimed: MemberRecord? = null): List<MemberRecord> {
        val held = to?.let { entries[it]?.record }
        val disputed = held?.takeIf { it.state != MemberState.ALIVE || (claimed != null && it != claimed) }
        val news = updates.take(settings.updatesPerMessage, entries.size + 1)
        return (listOfNotNull(own, disputed) + news).distinctBy(MemberRecord::id)
    }

    /** Helpers for a probe of [target]: live instances, those of third zones first. */
    fun helpers(target: MemberRecord, random: Random): List<MemberRecord> = entries.values
        .map(Entry::record)
        .filter { it.state == MemberState.ALIVE && it.id != target.id }
        .shuffled(random)
        .sortedBy { it.instance.zone == self.zone || it.instance.zone == target.instance.zone }
        .take(settings.helpers)

    /** All records, for a peer whose [digest] differs. */
    fun table(): List<MemberRecord> = entries.values.map(Entry::record) + own

    /** Digest of the live records; equal on two instances that agree on the fleet. */
    fun digest(): Int = table()
        .filter { it.state <= MemberState.LEAVING }
        .sumOf { (it.id.value.hashCode() * HASH_STEP + it.epoch.hashCode()) * HASH_STEP + it.state.ordinal }

    /** Address of [id], if it is known. */
    fun addressOf(id: InstanceId): NetworkAddress? = entries[id]?.record?.instance?.peerAddress

    /** The fleet as traffic and ownership read it. */
    fun view(): MembershipView = MembershipView(
        self = self.id,
        zone = self.zone,
        members = (entries.values.map(::toMember) + ownMember()).associateBy(Member::id).toPersistentMap(),
        asOfMs = lastRoundMs,
        refreshed = refreshed,
        superseded = superseded,
    )

    private fun ownMember() = toMember(Entry(own, startedMs).also { it.skewMs = 0 })

    private fun toMember(entry: Entry) = Member(
        id = entry.record.id,
        zone = entry.record.instance.zone,
        address = entry.record.instance.peerAddress,
        incarnation = entry.record.incarnation,
        state = entry.record.state,
        sinceMs = entry.sinceMs,
        skewMs = entry.skewMs,
    )

    private companion object {
        const val HASH_STEP = 31
    }
}
