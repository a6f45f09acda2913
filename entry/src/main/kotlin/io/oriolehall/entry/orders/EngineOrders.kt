package io.oriolehall.entry.orders

import io.ktor.client.HttpClient
import io.oriolehall.entry.config.ConfigStore
import io.oriolehall.model.Endpoint
import io.oriolehall.model.EndpointId
import io.oriolehall.model.EngineAssignment
import io.oriolehall.model.Incarnation
import io.oriolehall.model.LoadReport
import io.oriolehall.model.settings.EntrySettings
import io.oriolehall.peer.PeerClient
import io.oriolehall.peer.PeerServer
import io.oriolehall.policy.config.Backoff
import io.oriolehall.policy.hashing.Rendezvous
import io.oriolehall.policy.membership.MembershipView
import io.oriolehall.policy.orders.EngineState
import io.oriolehall.policy.orders.OrderDecision
import io.oriolehall.policy.orders.OrderPolicy
import io.oriolehall.policy.orders.OrderTiming
import io.oriolehall.runtime.AuditTrail
import io.oriolehall.runtime.EventLog
import io.oriolehall.runtime.TimerService
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.drop
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap

/**
 * Makes the engines of this zone serve what tickets assign to them. Each engine has one orderer, the live instance of
 * its zone with the highest rendezvous weight. The orderer looks at the engine again and again and orders wherever the
 * report differs from the highest ticket, so that an order of a former orderer that arrives late is corrected too. An
 * engine gets no work from before its order until it has been carried out.
 *
 * Runs on the control thread, but for [holds] and [status].
 */
class EngineOrders internal constructor(
    private val settings: EntrySettings,
    private val incarnation: Incarnation,
    private val store: ConfigStore,
    private val view: () -> MembershipView?,
    http: HttpClient,
    peers: PeerClient,
    private val scope: CoroutineScope,
    private val timers: TimerService,
    audit: AuditTrail,
    log: EventLog,
) {
    /** Pause after orders whose outcome is not known, so that a load that cannot succeed is not tried without end. */
    private class Retry {
        val backoff = Backoff(maxBoundMs = LONGEST_RETRY_MS)
        var atMs = Long.MIN_VALUE
    }

    private class Reading(val report: LoadReport, val takenAtMs: Long)

    private val self = settings.instance
    private val timing = OrderTiming(longestLoadMs = settings.orders.longestLoadMs)
    private val journal = OrderJournal(audit, log)
    private val client = EngineClient(http, settings::dialled)
    private val permits = LoadPermits(
        self,
        incarnation,
        settings.orders.loadsAtOnce,
        timing,
        view,
        settings::dialled,
        peers,
        timers,
    )
    private val tended = mutableSetOf<EndpointId>()
    private val retries = mutableMapOf<EndpointId, Retry>()
    private val held = ConcurrentHashMap.newKeySet<EndpointId>()
    private val statuses = ConcurrentHashMap<EndpointId, OrderStatus>()

    /** True while [endpoint] gets no new work, since it is to be ordered or carries out an order. */
    fun holds(endpoint: EndpointId): Boolean = endpoint in held

    /** The engines that this instance orders. */
    fun status(): List<OrderStatus> = statuses.values.sortedBy(OrderStatus::endpoint)

    /** Starts to look after the engines. */
    fun start(server: PeerServer) {
        permits.serve(server, scope)
        timers.every("engine orders", timing.checkIntervalMs, JITTER) { check() }
        scope.launch { store.state.drop(1).collect { check() } }
    }

    private fun check() {
        permits.updateOwnership()
        val mine = assigned().filter { isOrderer(it.engine.id) }
        forgetAllBut(mine.map { it.engine.id }.toSet())
        for (one in mine) {
            if (timers.nowMs() < retry(one.engine.id).atMs) continue
            if (tended.add(one.engine.id)) scope.launch { tend(one.engine.id) }
        }
    }

    private fun forgetAllBut(mine: Set<EndpointId>) {
        statuses.keys.removeIf { it !in mine && it !in tended }
        held.removeIf { it !in mine && it !in tended }
    }

    private suspend fun tend(id: EndpointId) {
        try {
            val target = assigned(id) ?: return
            val reading = read(target) ?: return note(target, null, OrderPhase.UNREACHABLE)
            when (val decision = decide(target, reading)) {
                OrderDecision.InForce -> release(target, reading)
                OrderDecision.Busy -> note(target, reading, OrderPhase.BUSY)
                is OrderDecision.OutdatedTicket -> noteBehind(target, reading, decision)
                is OrderDecision.Send -> if (decision.requiresLoad) load(target, reading) else send(target, reading)
            }
        } finally {
            tended -= id
        }
    }

    private fun release(target: AssignedEngine, reading: Reading) {
        held -= target.engine.id
        note(target, reading, OrderPhase.IN_FORCE)
    }

    private fun noteBehind(target: AssignedEngine, reading: Reading, decision: OrderDecision.OutdatedTicket) {
        val known = statuses[target.engine.id]?.phase == OrderPhase.BEHIND
        note(target, reading, OrderPhase.BEHIND)
        if (!known) journal.ahead(target, decision.ticket)
    }

    /** Orders the engine to load something, once the weight store has room and the engine's calls have ended. */
    private suspend fun load(target: AssignedEngine, reading: Reading) {
        if (reading.report.model == null) held += target.engine.id
        note(target, reading, OrderPhase.WAITS_FOR_PERMIT)
        val permit = permits.take(target.engine.id) ?: return
        var outcome: OrderOutcome? = null
        try {
            held += target.engine.id
            note(target, reading, OrderPhase.DRAINING)
            val drained = drain(target)
            if (drained != null && timers.nowMs() < permit.startByMs) outcome = send(target, drained)
        } finally {
            if (reading.report.model != null) held -= target.engine.id
            if (outcome !is OrderOutcome.Unknown) permits.release(permit)
        }
    }

    /** Waits until no call runs at the engine; its reading after that, or null when it cannot be read. */
    private suspend fun drain(target: AssignedEngine): Reading? {
        val heldAtMs = timers.nowMs()
        var reading = read(target)
        while (!timing.isDrained(timers.nowMs() - heldAtMs, reading?.report)) {
            delay(DRAIN_POLL_MS)
            reading = read(target)
        }
        return reading
    }

    /** Sends the order that is due by what is in force now, if it is still for this instance to send; null if not. */
    private suspend fun send(target: AssignedEngine, reading: Reading): OrderOutcome? {
        val current = assigned(target.engine.id) ?: return null
        val decision = decide(current, reading) as? OrderDecision.Send ?: return null
        val order = decision.order
        if (!maySend(current, reading)) return null
        note(current, reading, OrderPhase.SENT)
        journal.sent(current, decision)
        val outcome = client.order(current.engine, order, timing.longestLoadMs)
        pace(current.engine.id, outcome)
        journal.ended(current, order, EngineState.of(reading.report), outcome)
        note(current, reading, OrderPhase.SETTLING)
        delay(timing.reportLagMs)
        return outcome
    }

    private fun pace(id: EndpointId, outcome: OrderOutcome) {
        val retry = retry(id)
        if (outcome !is OrderOutcome.Unknown) return retry.backoff.reset()
        retry.atMs = timers.nowMs() + retry.backoff.next()
    }

    private fun retry(id: EndpointId) = retries.getOrPut(id) { Retry() }

    /** False after a pause or a loss of ownership since the reading was taken. */
    private fun maySend(target: AssignedEngine, reading: Reading): Boolean =
        timers.nowMs() - reading.takenAtMs <= timing.maxReadingAgeMs && isOrderer(target.engine.id)

    private suspend fun read(target: AssignedEngine): Reading? {
        val takenAtMs = timers.nowMs()
        return client.report(target.engine)?.let { Reading(it, takenAtMs) }
    }

    private fun decide(target: AssignedEngine, reading: Reading) =
        OrderPolicy.decide(target.wanted, target.version.ticket, target.engine.fenced, reading.report)

    private fun note(target: AssignedEngine, reading: Reading?, phase: OrderPhase) {
        statuses[target.engine.id] = OrderStatus(
            endpoint = target.engine.id,
            ticket = target.version.ticket,
            wanted = EngineState.of(target.wanted).toString(),
            serving = reading?.let { EngineState.of(it.report).toString() },
            phase = phase,
        )
    }

    private fun assigned(): List<AssignedEngine> = store.config.objects.values
        .mapNotNull { (it.state as? EngineAssignment)?.endpoint }
        .mapNotNull(::assigned)

    private fun assigned(id: EndpointId): AssignedEngine? {
        val config = store.config
        val engine = config.endpoint(id)?.takeIf { it.zone == self.zone } ?: return null
        val version = config.objects[EngineAssignment(id, "", "").key] ?: return null
        return AssignedEngine(engine, version)
    }

    private fun isOrderer(id: EndpointId): Boolean {
        val current = view()?.takeIf { it.isFresh(timers.nowMs()) } ?: return false
        return Rendezvous.owner(id, current.ownerCandidates(self.zone).map { it.id }) == self.id
    }

    private companion object {
        const val JITTER = 0.1
        const val DRAIN_POLL_MS = 250L
        const val LONGEST_RETRY_MS = 30_000L
    }
}
