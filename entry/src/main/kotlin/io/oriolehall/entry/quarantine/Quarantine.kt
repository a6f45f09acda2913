package io.oriolehall.entry.quarantine

import io.oriolehall.model.Endpoint
import io.oriolehall.model.Instance
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.settings.InstanceSettings
import io.oriolehall.peer.PeerClient
import io.oriolehall.peer.PeerServer
import io.oriolehall.policy.hashing.Rendezvous
import io.oriolehall.policy.quarantine.CrashRegister
import io.oriolehall.policy.quarantine.EndpointLoss
import io.oriolehall.policy.quarantine.Fingerprint
import io.oriolehall.policy.quarantine.Standing
import io.oriolehall.policy.quarantine.SuspectTrials
import io.oriolehall.runtime.AuditTrail
import io.oriolehall.runtime.TimerService
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.getAndUpdate
import kotlinx.coroutines.launch
import kotlin.random.Random

/**
 * Keeps requests that end endpoints from ending more of them. Losses are told to every instance at once; suspects run
 * one at a time per endpoint, by leave of the endpoint's owner.
 */
class Quarantine(
    private val self: InstanceSettings,
    private val instances: () -> List<Instance>,
    private val dialled: (NetworkAddress) -> NetworkAddress,
    private val peers: PeerClient,
    private val server: PeerServer,
    private val probe: CrashProbe,
    private val scope: CoroutineScope,
    private val timers: TimerService,
    private val audit: AuditTrail,
    private val random: Random = Random.Default,
) {
    private val register = MutableStateFlow(CrashRegister())
    private val trials = SuspectTrials()

    /** Losses known here, for operators. */
    val known: List<SharedLoss> get() = shared(register.value)

    fun start() {
        server.answer(CRASHES) { notice ->
            merge(notice.losses)
            notice.cleared.forEach { fingerprint -> register.getAndUpdate { it.withoutSuspect(fingerprint) } }
            KnownLosses(known)
        }
        server.answer(TRIALS) { decide(it) }
        timers.every("crashes", EXCHANGE_MS, jitter = 0.3) { exchange() }
    }

    fun standing(fingerprint: Fingerprint): Standing = register.value.standing(fingerprint, timers.nowMs())

    /** Finds out whether [endpoint] ended while it ran the request, and if so holds it against the request. */
    suspend fun onLostCall(fingerprint: Fingerprint, endpoint: Endpoint, calledAtMs: Long) {
        if (!probe.ended(endpoint, calledAtMs)) return
        val loss = EndpointLoss(endpoint.id, timers.nowMs(), fingerprint)
        add(fingerprint, loss, cause = "endpoint ${endpoint.id} ended while it ran the request")
        tellAll(CrashNotice(self.id, losses = listOf(SharedLoss(fingerprint, endpoint.id, ageMs = 0))))
    }

    /** Clears a suspect that ran through its whole pipeline. */
    fun onCompleted(fingerprint: Fingerprint) {
        if (standing(fingerprint) != Standing.SUSPECT) return
        register.getAndUpdate { it.withoutSuspect(fingerprint) }
        tellAll(CrashNotice(self.id, cleared = listOf(fingerprint)))
    }

    /** Asks whether the suspect may run at [endpoint] now, alone among suspects, for [lastsMs] milliseconds. */
    suspend fun beginTrial(fingerprint: Fingerprint, endpoint: Endpoint, lastsMs: Long): Boolean =
        ask(endpoint, TrialRequest(endpoint.id, fingerprint, lastsMs))

    suspend fun endTrial(fingerprint: Fingerprint, endpoint: Endpoint) {
        ask(endpoint, TrialRequest(endpoint.id, fingerprint, lastsMs = 0, end = true))
    }

    private suspend fun ask(endpoint: Endpoint, request: TrialRequest): Boolean {
        val members = instances().filter { it.zone == endpoint.zone }
        val owner = members.find { it.id == Rendezvous.owner(endpoint.id, members.map(Instance::id)) }
        if (owner == null || owner.id == self.id) return decide(request).granted
        val answer = peers.call(dialled(owner.peerAddress), TRIALS, request, CALL_TIMEOUT_MS)
        return answer.isOk && answer.value.granted
    }

    private fun decide(request: TrialRequest): TrialAnswer = synchronized(trials) {
        if (request.end) {
            trials.end(request.endpoint, request.fingerprint)
            TrialAnswer()
        } else {
            TrialAnswer(trials.begin(request.endpoint, request.fingerprint, request.lastsMs, timers.nowMs()))
        }
    }

    private fun tellAll(notice: CrashNotice) {
        for (other in instances().filter { it.id != self.id }) {
            scope.launch { peers.call(dialled(other.peerAddress), CRASHES, notice, CALL_TIMEOUT_MS) }
        }
    }

    private suspend fun exchange() {
        register.getAndUpdate { it.withoutExpired(timers.nowMs()) }
        val other = instances().filter { it.id != self.id }.randomOrNull(random) ?: return
        val answer = peers.call(dialled(other.peerAddress), CRASHES, CrashNotice(self.id), CALL_TIMEOUT_MS)
        if (answer.isOk) merge(answer.value.losses)
    }

    private fun merge(losses: List<SharedLoss>) {
        val now = timers.nowMs()
        for (loss in losses) {
            val received = EndpointLoss(loss.endpoint, now - loss.ageMs, loss.fingerprint)
            add(loss.fingerprint, received, "told by another instance")
        }
    }

    private fun add(fingerprint: Fingerprint, loss: EndpointLoss, cause: String) {
        val before = register.getAndUpdate { it.withLoss(fingerprint, loss) }.standing(fingerprint, timers.nowMs())
        val after = standing(fingerprint)
        if (before != after) {
            audit.record("quarantine", "request/$fingerprint", cause, before = "$before", after = "$after")
        }
    }

    private fun shared(register: CrashRegister): List<SharedLoss> {
        val now = timers.nowMs()
        return register.losses.flatMap { (fingerprint, all) ->
            all.map { SharedLoss(fingerprint, it.endpoint, now - it.atMs) }
        }
    }

    private companion object {
        const val EXCHANGE_MS = 5_000L
        const val CALL_TIMEOUT_MS = 500L
    }
}
