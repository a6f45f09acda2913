package io.oriolehall.gateway.fleet

import io.oriolehall.dispatch.config.Moment
import io.oriolehall.gateway.feed.PeerFeed
import io.oriolehall.gateway.feed.PublishedState
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
import io.oriolehall.runtime.Event
import io.oriolehall.runtime.EventLog
import io.oriolehall.runtime.TimerService
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlin.random.Random

/**
 * This instance's view of the others: it finds them through the seeds, probes them, and learns with each answer how new
 * their configuration is. A newer one is fetched at once; an equal one that was confirmed later confirms this
 * instance's. All state belongs to the control thread.
 *
 * @param seeds first addresses to ask; they may be stale or down.
 */
class FleetService(
    private val self: Instance,
    private val incarnation: Incarnation,
    private val seeds: List<NetworkAddress>,
    private val client: PeerClient,
    private val state: PublishedState,
    private val timers: TimerService,
    private val scope: CoroutineScope,
    private val control: CoroutineDispatcher,
    private val log: EventLog,
    private val settings: MembershipSettings = DEFAULT_SETTINGS,
    private val random: Random = Random.Default,
) : PeerFeed {
    private val membership = Membership(self, incarnation, settings, random, timers.nowMs())
    private val follower = StateFollower(incarnation, state, client, timers, log, ::confirmedAgoMs)
    private var fetching = false

    /** The newest view. */
    @Volatile
    var view: MembershipView = membership.view()
        private set

    /** Answers probes and starts to send them. */
    fun start(server: PeerServer) {
        server.answer(FleetChannels.PROBE) { withContext(control) { answer(it) } }
        server.answer(FleetChannels.HELP) { ProbeAnswer(withContext(control) { exchange(it.address, null) }) }
        server.answer(FleetChannels.RECORDS) { withContext(control) { FleetRecords(membership.table()) } }
        server.answer(FleetChannels.STATE) {
            withContext(control) { StateAnswer(state.snapshot(), confirmedAgoMs()) }
        }
        server.serve(FleetChannels.FOLLOW) { query, emit ->
            withContext(control) { follower.answer(query) }?.let { emit(it) }
        }
        membership.join()
        timers.after("first probes", 0) { scope.launch { round() } }
        timers.every("membership round", settings.probePeriodMs, JITTER) { scope.launch { round() } }
    }

    /** Announces that this instance takes no new ownership. */
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

    /** The instance that owns [subject]: all that see the same members name the same one. Null before there are any. */
    fun ownerOf(subject: String): Member? = owners.of(subject)

    @Volatile
    private var owners = Owners(view)

    /** Live instances, this one among them. The same set is returned until it changes. */
    @Volatile
    var live: Set<InstanceId> = setOf(self.id)
        private set

    private suspend fun round() {
        val targets = membership.beginRound(timers.nowMs())
        if (membership.lastPauseMs > 0) log.write(Event.PROCESS_WAS_PAUSED, "ms" to membership.lastPauseMs)
        coroutineScope {
            targets.forEach { launch { probe(it) } }
            unknownSeed()?.let { launch { joinAt(it) } }
        }
        publish()
    }

    /** A seed at which nobody that this instance knows is live. */
    private fun unknownSeed(): NetworkAddress? {
        val live = view.members.values.filter { it.reachable }.map { it.address }.toSet() + self.peerAddress
        return seeds.filter { it !in live }.randomOrNull(random)
    }

    private suspend fun joinAt(address: NetworkAddress) {
        exchange(address, null) ?: return
        fetchRecords(address)
    }

    private suspend fun probe(target: MemberRecord) {
        if (exchange(target.instance.peerAddress, target.id) != null) return
        if (target.state == MemberState.DEAD || target.state == MemberState.LEFT) return
        val heard = coroutineScope {
            membership.helpers(target, random).map { async { askHelper(it, target) } }.awaitAll()
        }
        if (heard.none { it }) membership.silent(target.id, timers.nowMs())
    }

    private suspend fun askHelper(helper: MemberRecord, target: MemberRecord): Boolean {
        val request = ProbeRequest(target.instance.peerAddress)
        val timeoutMs = settings.probeTimeoutMs * 2
        val answer = client.call(helper.instance.peerAddress, FleetChannels.HELP, request, timeoutMs)
        val gossip = if (answer.isOk) answer.value.gossip else null
        gossip?.let { takeIn(it) }
        return gossip != null
    }

    private suspend fun exchange(address: NetworkAddress, id: InstanceId?): FleetGossip? {
        val sentAt = state.now()
        val message = gossip(membership.outgoing(id))
        val outcome = client.call(address, FleetChannels.PROBE, message, settings.probeTimeoutMs)
        if (outcome.isErr) return null
        val answer = outcome.value
        takeIn(answer)
        membership.answered(answer.sender.id, 0)
        confirmFrom(answer, sentAt)
        return answer
    }

    private fun confirmFrom(answer: FleetGossip, sentAt: Moment) {
        if (answer.confirmedAgoMs < 0) return
        state.trust.confirm(answer.configRevision, sentAt.before(answer.confirmedAgoMs))
    }

    private fun answer(message: FleetGossip): FleetGossip {
        takeIn(message)
        return gossip(membership.outgoing(message.sender.id, claimed = message.sender))
    }

    private fun gossip(records: List<MemberRecord>) = FleetGossip(
        records = records,
        fleetDigest = membership.digest(),
        configRevision = state.trust.current?.revision ?: 0,
        confirmedAgoMs = confirmedAgoMs(),
    )

    private fun confirmedAgoMs(): Long {
        val trusted = state.trust.current ?: return -1
        val now = state.now()
        return if (trusted.mayHonourKeys(now, MAX_CONFIRMATION_AGE_MS)) now.ms - trusted.confirmedAt.ms else -1
    }

    private fun takeIn(gossip: FleetGossip) {
        val news = membership.merge(gossip.records, timers.nowMs())
        if (news.isNotEmpty()) publish()
        val address = gossip.sender.instance.peerAddress
        if (gossip.fleetDigest != membership.digest()) fetchOnce { fetchRecords(address) }
        if (gossip.configRevision > (state.trust.current?.revision ?: 0)) fetchOnce { fetchState(address) }
    }

    private fun fetchOnce(action: suspend () -> Unit) {
        if (fetching) return
        fetching = true
        scope.launch {
            try {
                action()
            } finally {
                fetching = false
            }
        }
    }

    private suspend fun fetchRecords(address: NetworkAddress) {
        val answer = client.call(address, FleetChannels.RECORDS, StateQuery(membership.digest()), FETCH_TIMEOUT_MS)
        if (answer.isOk && membership.merge(answer.value.records, timers.nowMs()).isNotEmpty()) publish()
    }

    private suspend fun fetchState(address: NetworkAddress): Boolean {
        val sentAt = state.now()
        val answer = client.call(address, FleetChannels.STATE, StateQuery(), FETCH_TIMEOUT_MS)
        if (answer.isErr) return false
        val agoMs = answer.value.confirmedAgoMs
        val readAt = if (agoMs < 0) sentAt.before(MAX_CONFIRMATION_AGE_MS) else sentAt.before(agoMs)
        val snapshot = answer.value.snapshot ?: return false
        if (snapshot.asOf < (state.asOf ?: 0)) return false
        state.replace(snapshot, readAt, orderly = true, source = "instance at $address")
        return true
    }

    /** Longest wait of a watch of the platform, milliseconds: [aloneMs] unless others follow this instance. */
    fun watchMs(aloneMs: Long): Long = if (follower.followed) minOf(aloneMs, StateFollower.WATCH_MS) else aloneMs

    override suspend fun follow(): Boolean = PlatformReaders.followedBy(view)?.let { follower.follow(it) } ?: false

    override suspend fun refresh(state: PublishedState): Boolean {
        val others = view.members.values.filter { it.reachable && it.id != self.id }.map(Member::address)
        val asked = others.shuffled(random).take(REFRESH_FROM)
        return coroutineScope { asked.map { async { fetchState(it) } }.awaitAll() }.any { it }
    }

    /** Tells a few others at once, so that news need not wait for the next round. */
    private suspend fun spread() {
        val others = view.members.values.filter { it.reachable && it.id != self.id }.shuffled(random)
        coroutineScope { others.take(SPREAD).forEach { launch { exchange(it.address, it.id) } } }
    }

    private fun publish() {
        val before = view
        val after = membership.view()
        view = after
        if (!owners.isOf(after)) owners = Owners(after)
        val reachable = after.members.values.filter { it.reachable }.mapTo(HashSet()) { it.id } + self.id
        if (reachable != live) live = reachable
        for (member in after.members.values) {
            val old = before.member(member.id)
            if (old?.incarnation == member.incarnation && old.ownable == member.ownable) continue
            log.write(
                Event.MEMBER_CHANGED,
                "member" to member.id,
                "before" to old?.state,
                "after" to member.state,
                "incarnation" to member.incarnation,
            )
        }
    }

    private companion object {
        const val JITTER = 0.1
        const val FETCH_TIMEOUT_MS = 1_000L
        const val SPREAD = 8
        const val REFRESH_FROM = 2

        /** Confirmations older than this are not passed on, milliseconds; API keys are suspended before. */
        const val MAX_CONFIRMATION_AGE_MS = 10_000L

        /** Faster than the default, because work waits for the owner of a queue that is gone. */
        val DEFAULT_SETTINGS = MembershipSettings(
            probePeriodMs = 350,
            probeTimeoutMs = 250,
            suspicionMs = 900,
            pauseMs = 1_500,
        )
    }
}
