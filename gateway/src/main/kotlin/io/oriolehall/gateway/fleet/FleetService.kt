package io.oriolehall.gateway.fleet

import io.oriolehall.dispatch.config.ClockReading
import io.oriolehall.dispatch.endpoints.ZoneReachability
import io.oriolehall.gateway.feed.PeerFeed
import io.oriolehall.gateway.feed.PublishedState
import io.oriolehall.gateway.feed.ReadingPace
import io.oriolehall.model.Incarnation
import io.oriolehall.model.Instance
import io.oriolehall.model.InstanceId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.ZoneId
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
 * Tracks the members of the fleet: finds them through the seeds, probes them, and receives the version of their
 * configuration and the era of the store with each answer. A newer configuration is fetched immediately; if the
 * versions are equal, a later confirmation at the other instance also confirms the configuration of this one. All state
 * is confined to the control thread.
 *
 * @param seeds addresses for the first contacts; they may be outdated or unreachable.
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
    private val pace: ReadingPace,
    private val settings: MembershipSettings = DEFAULT_SETTINGS,
    private val random: Random = Random.Default,
) : PeerFeed {
    private val membership = Membership(self, incarnation, settings, random, timers.nowMs())
    private val stateExchange = StateExchange(state, client)
    private val follower = StateFollower(incarnation, state, client, timers, log, pace, stateExchange::confirmedAgoMs)
    private val ownersListeners = mutableListOf<() -> Unit>()
    private var publishedRevision = membership.revision
    private var recordsFetchedAtMs = Long.MIN_VALUE / 2
    private var fetching = false

    /** The current view of the members. */
    @Volatile
    var view: MembershipView = membership.view()
        private set

    /** Registers the handlers on [server] and starts probing. */
    fun start(server: PeerServer) {
        server.answer(FleetChannels.PROBE) { withContext(control) { answer(it) } }
        server.answer(FleetChannels.INDIRECT_PROBE) { ProbeAnswer(withContext(control) { exchange(it.address, null) }) }
        server.answer(FleetChannels.RECORDS) { withContext(control) { FleetRecords(membership.allRecords()) } }
        server.answer(FleetChannels.STATE) {
            withContext(control) { StateAnswer(state.snapshot(), stateExchange.confirmedAgoMs(), state.eraAgeMs) }
        }
        server.serve(FleetChannels.FOLLOW) { query, emit ->
            withContext(control) { follower.answer(query) }?.let { emit(it) }
        }
        membership.join()
        timers.after("first probes", 0) { scope.launch { probeRound() } }
        timers.every("membership round", settings.probePeriodMs, PROBE_JITTER_SHARE) { scope.launch { probeRound() } }
    }

    /** Announces that this instance is leaving and must not become the owner of anything. */
    suspend fun announceLeaving() = withContext(control) {
        membership.leave()
        publish()
        gossipNow()
    }

    /** Announces that this instance has stopped. */
    suspend fun announceStopped() = withContext(control) {
        membership.stop()
        gossipNow()
    }

    /** Calls [listener] on the control thread when owners may have changed. To be registered before [start]. */
    fun onOwnersChanged(listener: () -> Unit) {
        ownersListeners += listener
    }

    /** Returns the owner of [subject], the same for all instances with the same member view; null without members. */
    fun ownerOf(subject: String): Member? = owners.of(subject)

    /** Returns the owner of [subject] and the member that this zone asks when it does not answer, if there is one. */
    fun ownersOf(subject: String): List<Member> = owners.withDeputy(subject)

    /** Addresses of the other reachable instances. */
    fun otherAddresses(): List<NetworkAddress> =
        view.members.values.filter { it.reachable && it.id != self.id }.map { it.address }

    /** True unless [id] has been declared dead or has stopped. */
    fun isReachable(id: InstanceId): Boolean = id in liveInstances

    private val reachability = ZoneReachability(self.zone)

    /** Zones whose endpoints cannot be reached from this instance, judged by its probes. */
    @Volatile
    var unreachableZones: Set<ZoneId> = emptySet()
        private set

    @Volatile
    private var owners = Owners(view)

    /** Reachable instances, including this one. The same set object is returned until the membership changes. */
    @Volatile
    var liveInstances: Set<InstanceId> = setOf(self.id)
        private set

    private suspend fun probeRound() {
        val targets = membership.beginRound(timers.nowMs())
        if (membership.lastPauseMs > 0) log.write(Event.PROCESS_WAS_PAUSED, "ms" to membership.lastPauseMs)
        coroutineScope {
            targets.forEach { launch { probe(it) } }
            uncontactedSeeds().forEach { launch { contactSeed(it) } }
        }
        publish()
    }

    /**
     * Seeds to contact in this round: a random one whose address is not that of a reachable member, or all of them
     * while no other member is known. After a restart of the whole fleet, the first seed to come up is found at once.
     */
    private fun uncontactedSeeds(): List<NetworkAddress> {
        val others = view.members.values.filter { it.reachable && it.id != self.id }
        val liveAddresses = others.map { it.address }.toSet() + self.peerAddress
        val uncontacted = seeds.filter { it !in liveAddresses }
        return if (others.isEmpty()) uncontacted else listOfNotNull(uncontacted.randomOrNull(random))
    }

    private suspend fun contactSeed(address: NetworkAddress) {
        exchange(address, null) ?: return
        fetchRecords(address)
    }

    private suspend fun probe(target: MemberRecord) {
        if (reaches(target)) return
        if (target.instance.zone != self.zone) scope.launch { probeAnotherIn(target) }
        if (target.state == MemberState.DEAD || target.state == MemberState.LEFT) return
        val reached = coroutineScope {
            membership.helpers(target, random).map { async { probeThrough(it, target) } }.awaitAll()
        }
        if (reached.none { it }) membership.recordSilence(target.id, timers.nowMs())
    }

    /** Finds out at once whether the zone of [silent] is unreachable or only that instance. */
    private suspend fun probeAnotherIn(silent: MemberRecord) {
        val others = membership.allRecords().filter {
            it.instance.zone == silent.instance.zone && it.id != silent.id && it.state == MemberState.ALIVE
        }
        val other = others.randomOrNull(random) ?: return
        reaches(other)
    }

    /** Probes [target] and records what the result says about its zone. */
    private suspend fun reaches(target: MemberRecord): Boolean {
        val startMs = timers.nowMs()
        val answered = exchange(target.instance.peerAddress, target.id) != null
        recordReachability(target, answered, timers.nowMs() - startMs)
        return answered
    }

    /**
     * A member that is known to have ended says nothing about its zone, nor does one whose machine refuses or resets
     * the connection, which takes no time.
     */
    private fun recordReachability(target: MemberRecord, answered: Boolean, tookMs: Long) {
        val silent = tookMs >= settings.probeTimeoutMs && target.state <= MemberState.LEAVING
        if (!answered && !silent) return
        reachability.record(target.id, target.instance.zone, answered)
        val unreachable = reachability.unreachable
        if (unreachable == unreachableZones) return
        log.write(Event.ZONES_UNREACHABLE, "before" to unreachableZones, "after" to unreachable)
        unreachableZones = unreachable
    }

    private suspend fun probeThrough(helper: MemberRecord, target: MemberRecord): Boolean {
        val request = ProbeRequest(target.instance.peerAddress)
        val timeoutMs = settings.probeTimeoutMs * 2
        val answer = client.call(helper.instance.peerAddress, FleetChannels.INDIRECT_PROBE, request, timeoutMs)
        val gossip = if (answer.isOk) answer.value.gossip else null
        gossip?.let { mergeGossip(it) }
        return gossip != null
    }

    private suspend fun exchange(address: NetworkAddress, id: InstanceId?): FleetGossip? {
        val sentAt = state.now()
        val message = gossip(membership.recordsFor(id))
        val outcome = client.call(address, FleetChannels.PROBE, message, settings.probeTimeoutMs)
        if (outcome.isErr) return null
        val answer = outcome.value
        mergeGossip(answer)
        membership.recordAnswer(answer.sender.id, 0)
        stateExchange.confirmFrom(answer, sentAt)
        return answer
    }

    private fun answer(message: FleetGossip): FleetGossip {
        mergeGossip(message)
        return gossip(membership.recordsFor(message.sender.id, reportedByTarget = message.sender))
    }

    private fun gossip(records: List<MemberRecord>) = FleetGossip(
        records = records,
        fleetDigest = membership.digest(),
        configRevision = state.configHolder.current?.revision ?: 0,
        confirmedAgoMs = stateExchange.confirmedAgoMs(),
        era = state.era,
        configVersion = state.configHolder.current?.stamp?.version ?: NO_VERSION,
        configEra = state.configHolder.current?.stamp?.position?.era ?: 0,
    )

    private fun mergeGossip(gossip: FleetGossip) {
        val changed = membership.merge(gossip.records, timers.nowMs())
        if (changed.isNotEmpty()) publish()
        val address = gossip.sender.instance.peerAddress
        if (gossip.fleetDigest != membership.digest() && mayFetchRecords()) fetchUnlessRunning { fetchRecords(address) }
        state.learnEra(gossip.era, "instance ${gossip.sender.id}")
        val theirs = gossip.configStamp ?: return
        val own = state.configHolder.current?.stamp
        if (own == null || theirs.replaces(own)) fetchUnlessRunning { stateExchange.fetchFrom(address) }
    }

    /**
     * While many instances start, digests differ in nearly every exchange although the records that they carry suffice.
     * All records are fetched only at intervals, for what was not passed on.
     */
    private fun mayFetchRecords(): Boolean {
        val nowMs = timers.nowMs()
        if (nowMs - recordsFetchedAtMs < RECORDS_FETCH_INTERVAL_MS) return false
        recordsFetchedAtMs = nowMs
        return true
    }

    private fun fetchUnlessRunning(fetch: suspend () -> Unit) {
        if (fetching) return
        fetching = true
        scope.launch {
            try {
                fetch()
            } finally {
                fetching = false
            }
        }
    }

    private suspend fun fetchRecords(address: NetworkAddress) {
        val answer = client.call(address, FleetChannels.RECORDS, StateQuery(membership.digest()), FETCH_TIMEOUT_MS)
        if (answer.isOk && membership.merge(answer.value.records, timers.nowMs()).isNotEmpty()) publish()
    }

    /** Maximum wait of a platform watch in milliseconds: [defaultMs], or less while other instances follow this one. */
    fun watchMs(defaultMs: Long): Long =
        if (follower.hasFollowers) minOf(defaultMs, pace.maxWaitMs) else defaultMs

    override suspend fun follow(): Boolean = PlatformReaders.readerFor(view)?.let { follower.follow(it) } ?: false

    override suspend fun refresh(state: PublishedState): Boolean {
        val others = view.members.values.filter { it.reachable && it.id != self.id }.map(Member::address)
        val sources = others.shuffled(random).take(REFRESH_SOURCES)
        return coroutineScope { sources.map { async { stateExchange.fetchFrom(it) } }.awaitAll() }.any { it }
    }

    override suspend fun learnDepartures(state: PublishedState): Boolean {
        val answersBefore = stateExchange.answers
        refresh(state)
        return stateExchange.answers > answersBefore
    }

    /** Gossips with a few random members immediately instead of waiting for the next round. */
    private suspend fun gossipNow() {
        val others = view.members.values.filter { it.reachable && it.id != self.id }.shuffled(random)
        coroutineScope { others.take(GOSSIP_FANOUT).forEach { launch { exchange(it.address, it.id) } } }
    }

    /** Publishes the view if the members have changed since the last call. */
    private fun publish() {
        if (publishedRevision == membership.revision) return
        publishedRevision = membership.revision
        val before = view
        val after = membership.view()
        view = after
        val ownersChange = !owners.hasSameMembersAs(after)
        if (ownersChange) owners = Owners(after)
        val reachable = after.members.values.filter { it.reachable }.mapTo(HashSet()) { it.id } + self.id
        if (reachable != liveInstances) liveInstances = reachable
        if (ownersChange) ownersListeners.forEach { it() }
        for (member in after.members.values) {
            val old = before.member(member.id)
            if (old?.incarnation == member.incarnation && old.canOwn == member.canOwn) continue
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
        const val PROBE_JITTER_SHARE = 0.1
        const val FETCH_TIMEOUT_MS = 1_000L
        const val RECORDS_FETCH_INTERVAL_MS = 1_500L
        const val GOSSIP_FANOUT = 8
        const val REFRESH_SOURCES = 2

        /** Detects failures faster than the default settings, because requests wait while a queue owner is down. */
        val DEFAULT_SETTINGS = MembershipSettings(
            probePeriodMs = 500,
            probeTimeoutMs = 250,
            suspicionMs = 900,
            pauseThresholdMs = 1_500,
        )
    }
}
