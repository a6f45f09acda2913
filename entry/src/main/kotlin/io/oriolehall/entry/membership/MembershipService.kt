package io.oriolehall.entry.membership

import io.oriolehall.entry.config.ConfigExchange
import io.oriolehall.entry.config.ConfigReader
import io.oriolehall.entry.config.ConfigStore
import io.oriolehall.entry.config.InstanceDirectory
import io.oriolehall.model.Incarnation
import io.oriolehall.model.Instance
import io.oriolehall.model.InstanceId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.peer.PeerClient
import io.oriolehall.peer.PeerServer
import io.oriolehall.policy.membership.Member
import io.oriolehall.policy.membership.MemberRecord
import io.oriolehall.policy.membership.MemberState
import io.oriolehall.policy.membership.Membership
import io.oriolehall.policy.membership.MembershipSettings
import io.oriolehall.policy.membership.MembershipView
import io.oriolehall.runtime.AuditTrail
import io.oriolehall.runtime.Event
import io.oriolehall.runtime.EventLog
import io.oriolehall.runtime.TimerService
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.flow.drop
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlin.random.Random

/**
 * Keeps this instance's view of the fleet: sends and answers probes, asks helpers, and lets a difference of
 * configuration that a probe shows be exchanged. All state belongs to the control thread.
 *
 * @param hints the platform's lagging list, for first contacts.
 * @param contacts addresses to try besides, from the settings.
 * @param dialled the address to dial for a published one.
 */
class MembershipService(
    private val self: Instance,
    incarnation: Incarnation,
    private val client: PeerClient,
    private val store: ConfigStore,
    private val reader: ConfigReader,
    private val exchange: ConfigExchange,
    private val hints: InstanceDirectory,
    private val contacts: List<NetworkAddress>,
    private val dialled: (NetworkAddress) -> NetworkAddress,
    private val timers: TimerService,
    private val scope: CoroutineScope,
    private val control: CoroutineDispatcher,
    private val audit: AuditTrail,
    private val log: EventLog,
    private val settings: MembershipSettings = MembershipSettings(),
    private val random: Random = Random.Default,
) {
    private val membership = Membership(self, incarnation, settings, random, timers.nowMs())
    private val mutableView = MutableStateFlow(membership.view())
    private val reports = PeerReports()
    private var answered = 0L
    private var differences = 0
    private var fetching = false

    /** The newest view. */
    val view: StateFlow<MembershipView> = mutableView.asStateFlow()

    /** True once this instance has asked the others, or found nobody to ask within the time for it. */
    @Volatile
    var joined = false
        private set

    /** Other instances, for operators. */
    fun peers(): List<PeerStatus> = reports.describe(view.value, store.state.value.digest.combined, timers.nowMs())

    /** Answers probes and starts to send them. */
    fun start(server: PeerServer) {
        server.answer(MembershipChannels.PROBE) { withContext(control) { answer(it) } }
        server.answer(MembershipChannels.HELP) {
            ProbeAnswer(withContext(control) { exchangeGossip(it.address, null) })
        }
        server.answer(MembershipChannels.FLEET) { withContext(control) { FleetRecords(membership.allRecords()) } }
        scope.launch {
            join()
            timers.every("membership round", settings.probePeriodMs, JITTER) { scope.launch { round() } }
            store.state.drop(1).collect { scope.launch { spread() } }
        }
    }

    /** Announces that this instance is leaving, at once to some and through them to all. */
    suspend fun announceLeaving() = withContext(control) {
        membership.leave()
        publish()
        spread()
    }

    /** Announces that this instance has stopped. */
    suspend fun announceStopped() = withContext(control) {
        membership.stop()
        spread()
    }

    private suspend fun join() {
        val startMs = timers.nowMs()
        while (timers.nowMs() - startMs < JOIN_TIMEOUT_MS) {
            val addresses = firstContacts()
            if (addresses.isEmpty() && hints.known && timers.nowMs() - startMs > ALONE_TIMEOUT_MS) break
            val answered = coroutineScope { addresses.map { async { joinAt(it) } }.awaitAll() }
            if (true in answered) break
            delay(JOIN_RETRY_MS)
        }
        membership.join()
        joined = true
        publish()
        log.write(Event.MEMBERSHIP_JOINED, "members" to view.value.members.size)
    }

    private fun firstContacts(): List<NetworkAddress> =
        (hints.instances.filter { it.id != self.id }.map(Instance::peerAddress) + contacts).distinct().shuffled(random)
            .take(FIRST_CONTACTS)

    private suspend fun joinAt(address: NetworkAddress): Boolean {
        val gossip = exchangeGossip(address, null) ?: return false
        fetchFleet(address)
        return exchange.pull(gossip.sender.id.value, dialled(address))
    }

    private suspend fun round() {
        val targets = membership.beginRound(timers.nowMs())
        if (membership.lastPauseMs > 0) {
            log.write(Event.PROCESS_WAS_PAUSED, "ms" to membership.lastPauseMs)
        }
        publish()
        val answeredBefore = answered
        coroutineScope {
            targets.forEach { launch { probe(it) } }
            hint()?.let { launch { exchangeGossip(it, null) } }
        }
        if (answered == answeredBefore) hints.refresh()
        publish()
    }

    /** An address of the lists at which nobody that this instance knows is live. */
    private fun hint(): NetworkAddress? {
        val live = view.value.members.values.filter { it.reachable }.map { it.address }.toSet() + self.peerAddress
        return (hints.instances.map(Instance::peerAddress) + contacts).filter { it !in live }.randomOrNull(random)
    }

    private suspend fun probe(target: MemberRecord) {
        if (exchangeGossip(target.instance.peerAddress, target.id) != null) return
        if (target.state == MemberState.DEAD || target.state == MemberState.LEFT) return
        val heard = coroutineScope {
            membership.helpers(target, random).map { async { askHelper(it, target) } }.awaitAll()
        }
        if (heard.none { it }) membership.recordSilence(target.id, timers.nowMs())
    }

    private suspend fun askHelper(helper: MemberRecord, target: MemberRecord): Boolean {
        val request = ProbeRequest(target.instance.peerAddress)
        val timeoutMs = settings.probeTimeoutMs * 2
        val answer = client.call(dialled(helper.instance.peerAddress), MembershipChannels.HELP, request, timeoutMs)
        val gossip = if (answer.isOk) answer.value.gossip else null
        gossip?.let { takeIn(it) }
        return gossip != null
    }

    /** Probes the instance at the published [address]; [id] is whom this instance expects there, if anyone. */
    private suspend fun exchangeGossip(address: NetworkAddress, id: InstanceId?): Gossip? {
        val sentAtMs = timers.wallClockMs()
        val message = gossip(membership.recordsFor(id))
        val outcome = client.call(dialled(address), MembershipChannels.PROBE, message, settings.probeTimeoutMs)
        if (outcome.isErr) return null
        val answer = outcome.value
        takeIn(answer)
        answered++
        membership.recordAnswer(answer.sender.id, answer.wallClockMs - (sentAtMs + timers.wallClockMs()) / 2)
        return answer
    }

    private fun answer(message: Gossip): Gossip {
        takeIn(message)
        return gossip(membership.recordsFor(message.sender.id, reportedByTarget = message.sender))
    }

    private fun gossip(records: List<MemberRecord>) = Gossip(
        records = records,
        fleetDigest = membership.digest(),
        configDigest = store.state.value.digest.combined,
        highestTicket = store.config.highestTicket,
        platformReachable = reader.reachable,
        wallClockMs = timers.wallClockMs(),
    )

    private fun takeIn(gossip: Gossip) {
        val sender = gossip.sender
        val news = membership.merge(gossip.records, timers.nowMs())
        if (news.isNotEmpty()) publish()
        if (sender.id == self.id) return
        reports.note(gossip, timers.nowMs())
        exchange.noteDigest(sender.id.value, dialled(sender.instance.peerAddress), gossip.configDigest)
        noteFleetDigest(gossip)
    }

    /** One difference is usually news on its way; several in turn are repaired by asking for all records. */
    private fun noteFleetDigest(gossip: Gossip) {
        differences = if (gossip.fleetDigest == membership.digest()) 0 else differences + 1
        if (differences < DIFFERENCES_TO_REPAIR || fetching) return
        differences = 0
        fetching = true
        scope.launch {
            fetchFleet(gossip.sender.instance.peerAddress)
            fetching = false
        }
    }

    private suspend fun fetchFleet(address: NetworkAddress) {
        val query = FleetQuery(membership.digest())
        val answer = client.call(dialled(address), MembershipChannels.FLEET, query, FLEET_TIMEOUT_MS)
        if (answer.isOk && membership.merge(answer.value.records, timers.nowMs()).isNotEmpty()) publish()
    }

    /** Tells a few others at once, so that news need not wait for the next round. */
    private suspend fun spread() {
        val others = view.value.members.values.filter { it.reachable && it.id != self.id }.shuffled(random)
        val (near, far) = others.partition { it.zone == self.zone }
        coroutineScope {
            (near.take(SPREAD_NEAR) + far.take(SPREAD_FAR)).forEach { launch { exchangeGossip(it.address, it.id) } }
        }
    }

    private fun publish() {
        val before = mutableView.value
        val after = membership.view()
        mutableView.value = after
        for (member in after.members.values) {
            val old = before.member(member.id)
            if (old?.incarnation != member.incarnation || old.canOwn != member.canOwn) record(old, member)
        }
        if (after.superseded && !before.superseded) log.write(Event.INSTANCE_SUPERSEDED)
    }

    private fun record(old: Member?, new: Member) = audit.record(
        actor = "failure detector",
        subject = "instance/${new.id}",
        cause = "probes and records of other instances",
        before = old?.let { "${it.state} ${it.incarnation}" },
        after = "${new.state} ${new.incarnation}",
    )

    private companion object {
        const val JITTER = 0.1
        const val JOIN_TIMEOUT_MS = 3_000L
        const val ALONE_TIMEOUT_MS = 1_000L
        const val JOIN_RETRY_MS = 200L
        const val FIRST_CONTACTS = 3
        const val FLEET_TIMEOUT_MS = 2_000L
        const val DIFFERENCES_TO_REPAIR = 3
        const val SPREAD_NEAR = 2
        const val SPREAD_FAR = 2
    }
}
