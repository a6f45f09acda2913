package io.oriolehall.entry.limits

import io.oriolehall.model.Endpoint
import io.oriolehall.model.EndpointId
import io.oriolehall.model.Incarnation
import io.oriolehall.model.Instance
import io.oriolehall.model.InstanceId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.ZoneId
import io.oriolehall.model.settings.InstanceSettings
import io.oriolehall.peer.PeerClient
import io.oriolehall.peer.PeerServer
import io.oriolehall.policy.hashing.Rendezvous
import io.oriolehall.policy.limits.AddressedCreditRequest
import io.oriolehall.policy.limits.CallResult
import io.oriolehall.policy.limits.CreditAnswer
import io.oriolehall.policy.limits.CreditHolder
import io.oriolehall.policy.limits.CreditTiming
import io.oriolehall.policy.limits.HolderRole
import io.oriolehall.policy.limits.ZoneMembers
import io.oriolehall.runtime.TimerService
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap

/**
 * Credits leased from the owner of each endpoint. Traffic asks [CreditHolder]s; the control thread renews the leases
 * and answers for the endpoints that this instance owns.
 *
 * @param scope scope on the control thread.
 * @param endpoints all endpoints of the configuration in force.
 * @param instances the platform's list.
 */
class LeasedLimits(
    private val self: InstanceSettings,
    private val incarnation: Incarnation,
    private val scope: CoroutineScope,
    private val endpoints: () -> List<Endpoint>,
    private val instances: () -> List<Instance>,
    private val dialled: (NetworkAddress) -> NetworkAddress,
    private val peers: PeerClient,
    private val server: PeerServer,
    private val reports: LoadReports,
    private val timers: TimerService,
    private val timing: CreditTiming = CreditTiming(),
) : ConcurrencyLimits {
    private val control = scope.coroutineContext.minusKey(Job)
    private val startedAtMs = timers.nowMs()
    private val holders = ConcurrentHashMap<EndpointId, CreditHolder>()
    private val wantedAtMs = ConcurrentHashMap<EndpointId, Long>()
    private val owners = OwnedLimits(self.zone, incarnation, timing, reports, timers)
    private val members = ZoneMembers(self.id)
    private val joined = mutableSetOf(self.id)
    private var joining = true
    private var leaving = false
    private var onRoom: () -> Unit = {}

    override fun room(endpoint: Endpoint): Int = holder(endpoint).room(timers.nowMs())

    override fun tryStart(endpoint: Endpoint): Boolean = holder(endpoint).tryStart(timers.nowMs())

    override fun finish(endpoint: Endpoint, result: CallResult, firstOutputMs: Double) =
        holder(endpoint).finish(result, firstOutputMs)

    override fun expectDemand(endpoint: Endpoint, waiting: Int) {
        holder(endpoint).expectDemand(waiting)
        if (waiting > 0) wantedAtMs[endpoint.id] = timers.nowMs()
    }

    override fun start(onRoom: () -> Unit) {
        this.onRoom = onRoom
        server.answer(CREDITS) { batch -> withContext(control) { answer(batch) } }
        timers.every("credits", RENEW_MS, jitter = 0.1) { renew() }
    }

    override suspend fun leave(): Unit = withContext(control) {
        leaving = true
        if (holders.values.any { it.inFlight > 0 }) return@withContext
        withTimeoutOrNull(GOODBYE_TIMEOUT_MS) {
            for (other in zone(self.zone).filter { it.id != self.id }) {
                peers.call(dialled(other.peerAddress), CREDITS, batch(goodbye = true), CALL_TIMEOUT_MS)
            }
        }
    }

    override fun owned(): List<OwnedEndpoint> = owners.describe()

    private fun renew() {
        if (leaving) return
        val now = timers.nowMs()
        val listed = zone(self.zone)
        if (listed.isNotEmpty()) members.onList(listed.filterNot(Instance::leaving).map(Instance::id).toSet(), now)
        if (joining && !join(now)) return
        owners.refresh(scope, endpoints(), members.owners, self.id)
        val requests = endpoints().mapNotNull { nextRequest(it, now) }
        for ((owner, batch) in requests.groupBy(AddressedCreditRequest::owner)) {
            if (owner == self.id) take(batch, ask(batch)) else scope.launch { send(owner, batch) }
        }
        onRoom()
    }

    /** Makes this instance known to the zone's others, so that none counts its members without it. */
    private fun join(now: Long): Boolean {
        val waited = now - startedAtMs
        val known = members.known(now)
        joining = !(instances().isNotEmpty() && joined.containsAll(known)) && waited < JOIN_MS
        zone(self.zone).filter { it.id !in joined }.forEach { scope.launch { announce(it) } }
        return !joining
    }

    private suspend fun announce(to: Instance) {
        val answer = peers.call(dialled(to.peerAddress), CREDITS, batch(), CALL_TIMEOUT_MS)
        if (answer.isOk) joined += to.id
    }

    private fun nextRequest(endpoint: Endpoint, now: Long): AddressedCreditRequest? {
        val holder = holder(endpoint)
        if (endpoint.zone != self.zone && !isWanted(endpoint, holder, now)) return null
        val candidates = if (endpoint.zone == self.zone) members.owners else zone(endpoint.zone).map { it.id }
        val owner = Rendezvous.owner(endpoint.id, candidates) ?: return null
        val fromOwnership = if (owner == self.id) 0 else owners.unreportedElsewhere(endpoint.id)
        return holder.nextRequest(owner, now, fromOwnership)
    }

    private fun isWanted(endpoint: Endpoint, holder: CreditHolder, now: Long): Boolean =
        holder.inFlight > 0 || now - (wantedAtMs[endpoint.id] ?: Long.MIN_VALUE / 2) < GUEST_INTEREST_MS

    private suspend fun send(owner: InstanceId, batch: List<AddressedCreditRequest>) {
        val address = instances().find { it.id == owner }?.peerAddress ?: return
        val message = batch().copy(requests = batch.map(AddressedCreditRequest::request))
        val answers = peers.call(dialled(address), CREDITS, message, CALL_TIMEOUT_MS)
        if (answers.isErr) return
        take(batch, answers.value.answers)
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
        owners.answer(batch.map(AddressedCreditRequest::request), endpoints(), members.known(timers.nowMs()))

    private fun answer(batch: CreditBatch): CreditAnswers {
        val now = timers.nowMs()
        if (batch.zone == self.zone) {
            if (batch.goodbye) members.onGoodbye(batch.from) else members.onContact(batch.from, now)
        }
        if (joining || leaving) return CreditAnswers()
        return CreditAnswers(owners.answer(batch.requests, endpoints(), members.known(now)))
    }

    private fun batch(goodbye: Boolean = false) = CreditBatch(self.id, self.zone, goodbye = goodbye)

    private fun zone(id: ZoneId) = instances().filter { it.zone == id }

    private fun holder(endpoint: Endpoint): CreditHolder = holders.computeIfAbsent(endpoint.id) {
        val role = if (endpoint.zone == self.zone) HolderRole.MEMBER else HolderRole.GUEST
        CreditHolder(it, self.id, incarnation, timing, startedAtMs, role)
    }

    companion object {
        /** Period of renewals, milliseconds. */
        const val RENEW_MS = 250L
        private const val CALL_TIMEOUT_MS = 500L
        private const val GOODBYE_TIMEOUT_MS = 1_000L
        private const val JOIN_MS = 3_000L
        private const val GUEST_INTEREST_MS = 2_000L
    }
}
