package io.oriolehall.policy.limits

import io.oriolehall.model.EndpointId
import io.oriolehall.model.Incarnation
import io.oriolehall.model.InstanceId
import io.oriolehall.policy.hashing.Rendezvous
import kotlin.random.Random

/**
 * Simulates the instances of one zone that share one endpoint, in steps of one millisecond, with random faults
 * generated from a seed: messages are delayed, lost and reordered; member lists differ; instances are paused, killed,
 * replaced and added; instances start and stop sending calls.
 */
internal class LeaseSimulation(seed: Long, size: Int, private val limit: Int, private val equalSplit: Boolean = false) {
    private val random = Random(seed)
    private val endpoint = EndpointId("e")
    private val timing = CreditTiming(
        leaseMs = 200,
        maxStampAgeMs = 150,
        drainMs = 400,
        marginMs = 20,
        renewMs = 100,
        contendedRenewMs = 25,
        retryMs = 50,
    )
    private val instanceIds = (1..size).map { InstanceId("i$it") }.toMutableList()
    private val nodes = instanceIds.associateWith { Node(it, 0, startedAtMs = 0) }.toMutableMap()
    private val learnedAtMs = mutableMapOf<Pair<InstanceId, InstanceId>, Long>()
    private val calls = mutableListOf<Call>()
    private val messages = mutableListOf<Message>()
    private var nowMs = 0L
    var faultsEnabled = true
    var peakRunningCalls = 0
        private set
    var completedCalls = 0
        private set

    fun run(steps: Int) = repeat(steps) {
        nowMs++
        if (faultsEnabled) injectFault()
        deliver()
        nodes.values.filter { nowMs >= it.pausedUntilMs }.forEach(Node::step)
        val ended = calls.filter { it.endsAtMs <= nowMs && nowMs >= it.node.pausedUntilMs }
        ended.forEach { if (!equalSplit) it.node.holder.finish(CallResult.COMPLETED) }
        completedCalls += ended.size
        calls.removeAll(ended)
        // A call ends at the endpoint even if its process was killed or paused.
        calls.removeAll { it.endsAtMs <= nowMs && nodes[it.node.instance] !== it.node }
        val running = calls.count { it.endsAtMs > nowMs }
        peakRunningCalls = maxOf(peakRunningCalls, running)
    }

    fun stopFaults() {
        faultsEnabled = false
        nodes.values.forEach {
            it.memberView = instanceIds.toSet()
            it.isSending = true
        }
    }

    private fun injectFault() {
        val node = nodes.getValue(instanceIds.random(random))
        when (random.nextInt(500)) {
            0 -> node.memberView = instanceIds.filter { it == node.instance || random.nextInt(3) > 0 }.toSet()
            1 -> node.memberView = instanceIds.toSet()
            2 -> node.pausedUntilMs = nowMs + random.nextLong(2_000)
            3 -> if (random.nextInt(4) == 0) nodes[node.instance] = Node(node.instance, nowMs.toInt(), nowMs)
            4 -> node.isSending = !node.isSending
            5 -> if (random.nextInt(8) == 0 && instanceIds.size < MAX_INSTANCES) add(InstanceId("j$nowMs"))
        }
    }

    /** Adds an instance, which makes itself known to all other members before it follows an owner. */
    private fun add(instance: InstanceId) {
        nodes.keys.forEach { learnedAtMs[it to instance] = nowMs + random.nextLong(JOIN_DELAY_MS) }
        instanceIds += instance
        nodes[instance] = Node(instance, nowMs.toInt(), nowMs).also { it.pausedUntilMs = nowMs + JOIN_DELAY_MS }
    }

    private fun deliver() {
        val due = messages.filter { it.atMs <= nowMs && nowMs >= nodes.getValue(it.to).pausedUntilMs }.shuffled(random)
        messages.removeAll(due)
        for (message in due) {
            val node = nodes.getValue(message.to)
            message.deliver(node)
        }
    }

    private fun send(to: InstanceId, local: Boolean, deliver: (Node) -> Unit) {
        if (faultsEnabled && !local && random.nextInt(10) == 0) return
        messages += Message(to, if (local) nowMs else nowMs + random.nextLong(if (faultsEnabled) 60 else 3), deliver)
    }

    private class Message(val to: InstanceId, val atMs: Long, val deliver: (Node) -> Unit)

    private class Call(val node: Node, val endsAtMs: Long)

    private inner class Node(val instance: InstanceId, nonce: Int, startedAtMs: Long) {
        private val clockOffsetMs = random.nextLong(1_000_000)
        private val id get() = HolderId(instance, incarnation)
        private val incarnation = Incarnation(startedAtMs, nonce)
        private val ledger = CreditLedger(endpoint, incarnation, timing)
        val holder = CreditHolder(endpoint, timing, startedAtMs = startedAtMs + clockOffsetMs)
        var memberView = instanceIds.toSet()
        var pausedUntilMs = 0L
        var isSending = true
        private var nextRenewalMs = 0L

        private fun clockMs() = nowMs + clockOffsetMs

        fun step() {
            if (nowMs >= nextRenewalMs && !equalSplit) renew()
            if (isSending && random.nextInt(20) == 0 && start()) {
                calls += Call(this, nowMs + 1 + random.nextLong(timing.drainMs))
            }
        }

        private fun start(): Boolean {
            if (!equalSplit) return holder.tryStart(clockMs())
            return calls.count { it.node === this } < EqualSplit.share(limit, memberView.size)
        }

        private fun renew() {
            nextRenewalMs = nowMs + random.nextLong(20, 30)
            if (!holder.isDue(clockMs())) return
            val owner = Rendezvous.owner(endpoint, memberView) ?: return
            val role = if (instance in electorate().voters) HolderRole.VOTER else HolderRole.BORROWER
            val extraInFlight = ledger.callsUnknownToNewOwner(clockMs())
            if (role == HolderRole.BORROWER && !isSending && holder.inFlight == 0 && extraInFlight == 0) return
            holder.setWaitingCalls(if (isSending) random.nextInt(4) else 0, clockMs())
            val sent =
                holder.nextRequest(owner, role, isSending, clockMs(), if (owner == instance) 0 else extraInFlight)
            send(sent.owner, local = sent.owner == instance) { it.answer(sent, this) }
        }

        private fun electorate(): Electorate {
            val known = instanceIds.filter { (learnedAtMs[instance to it] ?: 0) <= nowMs }.toSet()
            val recent = known.filter { nowMs - (learnedAtMs[instance to it] ?: -RECENT_MS) < RECENT_MS }.toSet()
            return Electorate.of(endpoint, known, recent)
        }

        private fun answer(sent: AddressedCreditRequest, from: Node) {
            val answer = ledger.answer(from.id, sent.request, electorate(), limit, clockMs())
            send(from.instance, local = from.instance == instance) { if (it === from) it.accept(sent, answer) }
        }

        private fun accept(sent: AddressedCreditRequest, answer: CreditAnswer) = holder.accept(sent, answer, clockMs())
    }

    private companion object {
        const val MAX_INSTANCES = 10
        const val JOIN_DELAY_MS = 60L
        const val RECENT_MS = 1_500L
    }
}
