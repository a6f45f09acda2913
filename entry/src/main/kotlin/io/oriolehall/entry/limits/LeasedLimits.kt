package io.oriolehall.entry.limits

import io.oriolehall.model.Endpoint
import io.oriolehall.model.EndpointId
import io.oriolehall.model.Incarnation
import io.oriolehall.model.Instance
import io.oriolehall.model.InstanceId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.PoolId
import io.oriolehall.model.ZoneId
import io.oriolehall.model.settings.InstanceSettings
import io.oriolehall.peer.PeerClient
import io.oriolehall.peer.PeerServer
import io.oriolehall.policy.hashing.Rendezvous
import io.oriolehall.policy.limits.AddressedCreditRequest
import io.oriolehall.policy.limits.CallResult
import io.oriolehall.policy.limits.CreditAnswer
import io.oriolehall.policy.limits.CreditHolder
import io.oriolehall.policy.limits.CreditPlan
import io.oriolehall.policy.limits.CreditTiming
import io.oriolehall.policy.limits.HolderId
import io.oriolehall.policy.limits.HolderRole
import io.oriolehall.policy.limits.ZoneMembers
import io.oriolehall.runtime.TimerService
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean

/**
 * Credits leased from the owner of each endpoint. Traffic asks [CreditHolder]s; the control thread renews the leases
 * and answers for the endpoints that this instance owns. Leases are kept for the endpoints on whose owner this instance
 * votes and for those that it has sent to lately; calls that wait for others have them asked for at once.
 *
 * @param scope scope on the control thread.
 * @param endpoints all endpoints of the configuration in force.
 * @param instances the instances of the fleet.
 * @param subsetSize number of endpoints of each pool of its zone that this instance sends to in peace.
 */
class LeasedLimits(
    private val self: InstanceSettings,
    incarnation: Incarnation,
    private val scope: CoroutineScope,
    private val endpoints: () -> List<Endpoint>,
    private val instances: () -> List<Instance>,
    private val dialled: (NetworkAddress) -> NetworkAddress,
    private val peers: PeerClient,
    private val server: PeerServer,
    private val reports: LoadReports,
    private val timers: TimerService,
    private val subsetSize: Int = CreditPlan.SUBSET_SIZE,
    private val timing: CreditTiming = CreditTiming(),
) : ConcurrencyLimits {
    private val control = scope.coroutineContext.minusKey(Job)
    private val startedAtMs = timers.nowMs()
    private val holderId = HolderId(self.id, incarnation)
    private val holders = ConcurrentHashMap<EndpointId, CreditHolder>()
    private val waitingSinceMs = ConcurrentHashMap<PoolId, Long>()
    private val owners = OwnedLimits(incarnation, timing, reports, timers)
    private val members = ZoneMembers(self.id)
    private val joined = mutableSetOf(self.id)
    private val woken = AtomicBoolean()
    private var joining = true
    private var leaving = false
    private var onRoom: () -> Unit = {}

    @Volatile
    private var plan = CreditPlan(self.id, self.zone, emptyList(), members.memberView(startedAtMs), subsetSize)

    override fun room(endpoint: Endpoint): Int = holder(endpoint).availableCredits(timers.nowMs())

    override fun tryStart(endpoint: Endpoint): Boolean = holder(endpoint).tryStart(timers.nowMs())

    override fun finish(endpoint: Endpoint, result: CallResult, firstOutputMs: Double) =
        holder(endpoint).finish(result, firstOutputMs)

    override fun setWaitingCalls(endpoint: Endpoint, waiting: Int) {
        val now = timers.nowMs()
        val holder = holder(endpoint)
        if (waiting == 0) {
            waitingSinceMs.remove(endpoint.pool)
            holder.setWaitingCalls(0, now)
            return
        }
        val since = waitingSinceMs.computeIfAbsent(endpoint.pool) { now }
        if (now - since < plan.spillDelayMs(endpoint)) return
        holder.setWaitingCalls(waiting, now)
        if (holder.isDue(now)) wake()
    }

    override fun start(onRoom: () -> Unit) {
        this.onRoom = onRoom
        server.answer(CREDITS) { batch -> withContext(control) { answer(batch) } }
        timers.every("credits", TICK_MS, jitter = 0.1) { tick() }
    }

    override suspend fun leave(): Unit = withContext(control) {
        withTimeoutOrNull(timing.drainMs + timing.marginMs) {
            while (others().isNotEmpty() && owners.hasGranted()) delay(DRAIN_POLL_MS)
        }
        leaving = true
        if (owners.hasGranted() || holders.values.any { it.inFlight > 0 }) return@withContext
        withTimeoutOrNull(GOODBYE_TIMEOUT_MS) {
            for (other in others()) {
                peers.call(dialled(other.peerAddress), CREDITS, batch(goodbye = true), CALL_TIMEOUT_MS)
            }
        }
    }

    override fun owned(): List<OwnedEndpoint> = owners.describe()

    private fun tick() {
        if (leaving) return
        val now = timers.nowMs()
        noteMembers(now)
        if (joining && !join(now)) return
        replan(now)
        owners.refresh(scope, plan.owned())
        renew(slackMs = TICK_MS / 2)
        onRoom()
    }

    private fun noteMembers(now: Long) {
        val present = instances().filter { it.zone == self.zone }
        if (present.isEmpty()) return
        val leaving = present.filter(Instance::leaving)
        members.onMemberList(present.map(Instance::id).toSet(), leaving.map(Instance::id).toSet(), now)
    }

    /** Sees to it that [plan] fits the members and endpoints of now. */
    private fun replan(now: Long) {
        val memberView = members.memberView(now)
        val current = endpoints()
        if (memberView != plan.memberView || current != plan.endpoints) {
            plan = CreditPlan(self.id, self.zone, current, memberView, subsetSize)
        }
    }

    /** Asks for what is due; true when this instance answered some of it itself. */
    private fun renew(slackMs: Long = 0): Boolean {
        if (joining || leaving) return false
        val now = timers.nowMs()
        val requests = plan.endpoints.mapNotNull { nextRequest(it, now, slackMs) }
        val byOwner = requests.groupBy(AddressedCreditRequest::owner)
        for ((owner, batch) in byOwner) {
            if (owner == self.id) take(batch, ask(batch)) else scope.launch { send(owner, batch) }
        }
        return self.id in byOwner
    }

    /** Renews soon; called by traffic. */
    private fun wake() {
        if (!woken.compareAndSet(false, true)) return
        scope.launch {
            woken.set(false)
            if (renew()) onRoom()
        }
    }

    /** Makes this instance known to the zone's others, so that none counts its members without it. */
    private fun join(now: Long): Boolean {
        val waited = now - startedAtMs
        val known = members.memberView(now).known
        joining = !(instances().isNotEmpty() && joined.containsAll(known)) && waited < JOIN_MS
        if (!joining) members.onJoined()
        others().filter { it.id !in joined }.forEach { scope.launch { announce(it) } }
        return !joining
    }

    private suspend fun announce(to: Instance) {
        val answer = peers.call(dialled(to.peerAddress), CREDITS, batch(), CALL_TIMEOUT_MS)
        if (answer.isOk) joined += to.id
    }

    private fun nextRequest(endpoint: Endpoint, now: Long, slackMs: Long): AddressedCreditRequest? {
        val holder = holder(endpoint)
        if (!holder.isDue(now, slackMs)) return null
        val role = plan.role(endpoint)
        val inUse = isInUse(endpoint, holder, now)
        val granted = owners.callsUnknownToNewOwner(endpoint.id)
        if (role != HolderRole.VOTER && !inUse && granted == 0) return null
        val owner = ownerOf(endpoint)
        if (owner == null) {
            holder.postpone(now)
            return null
        }
        return holder.nextRequest(owner, role, inUse, now, extraInFlight = if (owner == self.id) 0 else granted)
    }

    private fun ownerOf(endpoint: Endpoint): InstanceId? = when (endpoint.zone) {
        self.zone -> plan.owner(endpoint.id)
        else -> Rendezvous.owner(endpoint.id, ownersIn(endpoint.zone))
    }

    /** An instance that has just started is about to send to its subset. */
    private fun isInUse(endpoint: Endpoint, holder: CreditHolder, now: Long): Boolean {
        if (!plan.isInSubset(endpoint)) return holder.isInUse(SPILL_INTEREST_MS, now)
        return now - startedAtMs < SUBSET_INTEREST_MS || holder.isInUse(SUBSET_INTEREST_MS, now)
    }

    private suspend fun send(owner: InstanceId, batch: List<AddressedCreditRequest>) {
        val address = instances().find { it.id == owner }?.peerAddress ?: return
        val message = batch().copy(requests = batch.map(AddressedCreditRequest::request))
        val answers = peers.call(dialled(address), CREDITS, message, CALL_TIMEOUT_MS)
        if (answers.isErr) return
        take(batch, answers.value.answers)
        if (answers.value.answers.any { it.renewMs == 0L }) renew()
        onRoom()
    }

    private fun take(batch: List<AddressedCreditRequest>, answers: List<CreditAnswer>) {
        val byEndpoint = answers.associateBy(CreditAnswer::endpoint)
        val now = timers.nowMs()
        for (sent in batch) {
            val answer = byEndpoint[sent.request.endpoint] ?: continue
            holders[sent.request.endpoint]?.accept(sent, answer, now)
        }
    }

    private fun ask(batch: List<AddressedCreditRequest>): List<CreditAnswer> =
        owners.answer(holderId, batch.map(AddressedCreditRequest::request), plan)

    private fun answer(batch: CreditBatch): CreditAnswers {
        val now = timers.nowMs()
        if (batch.zone == self.zone) {
            if (batch.goodbye) members.onLeave(batch.from) else members.onContact(batch.from, now)
        }
        if (joining || leaving) return CreditAnswers()
        replan(now)
        return CreditAnswers(owners.answer(batch.holder, batch.requests, plan))
    }

    private fun batch(goodbye: Boolean = false) = CreditBatch(holderId, self.zone, goodbye = goodbye)

    private fun others() = instances().filter { it.zone == self.zone && it.id != self.id }

    private fun ownersIn(zone: ZoneId) = instances().filter { it.zone == zone && !it.leaving }.map(Instance::id)

    private fun holder(endpoint: Endpoint): CreditHolder =
        holders.computeIfAbsent(endpoint.id) { CreditHolder(it, timing, startedAtMs) }

    companion object {
        /** Time between two looks at what is to be renewed, milliseconds. */
        const val TICK_MS = 250L
        private const val CALL_TIMEOUT_MS = 500L
        private const val GOODBYE_TIMEOUT_MS = 1_000L
        private const val DRAIN_POLL_MS = 50L
        private const val JOIN_MS = 3_000L

        /** How long after the last call a lease is kept, milliseconds. */
        private const val SUBSET_INTEREST_MS = 30_000L
        private const val SPILL_INTEREST_MS = 2_000L
    }
}
