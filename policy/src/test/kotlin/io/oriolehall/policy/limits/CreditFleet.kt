package io.oriolehall.policy.limits

import io.oriolehall.model.EndpointId
import io.oriolehall.model.Incarnation
import io.oriolehall.model.InstanceId
import io.oriolehall.policy.hashing.Rendezvous
import kotlin.random.Random

/**
 * Instances of one zone around one endpoint, in steps of one millisecond, with faults drawn from a seed: messages are
 * late, lost and overtake each other; lists of members disagree; instances are paused, killed, replaced and added; they
 * begin and cease to send.
 */
internal class CreditFleet(seed: Long, size: Int, private val limit: Int, private val equalSplit: Boolean = false) {
    private val random = Random(seed)
    private val endpoint = EndpointId("e")
    private val timing = CreditTiming(
        leaseMs = 200,
        echoMs = 150,
        drainMs = 400,
        marginMs = 20,
        renewMs = 100,
        contendedMs = 25,
        retryMs = 50,
    )
    private val names = (1..size).map { InstanceId("i$it") }.toMutableList()
    private val nodes = names.associateWith { Node(it, 0, nowMs = 0) }.toMutableMap()
    private val metAtMs = mutableMapOf<Pair<InstanceId, InstanceId>, Long>()
    private val calls = mutableListOf<Call>()
    private val messages = mutableListOf<Message>()
    private var now = 0L
    var faults = true
    var peak = 0
        private set
    var served = 0
        private set

    fun run(steps: Int) = repeat(steps) {
        now++
        if (faults) breakSomething()
        deliver()
        nodes.values.filter { now >= it.pausedUntilMs }.forEach(Node::act)
        val ended = calls.filter { it.endsAtMs <= now && now >= it.node.pausedUntilMs }
        ended.forEach { if (!equalSplit) it.node.holder.finish(CallResult.COMPLETED) }
        served += ended.size
        calls.removeAll(ended)
        // A killed or paused sender's call ends at the endpoint on its own.
        calls.removeAll { it.endsAtMs <= now && nodes[it.node.name] !== it.node }
        val running = calls.count { it.endsAtMs > now }
        peak = maxOf(peak, running)
    }

    fun heal() {
        faults = false
        nodes.values.forEach {
            it.view = names.toSet()
            it.sends = true
        }
    }

    private fun breakSomething() {
        val node = nodes.getValue(names.random(random))
        when (random.nextInt(500)) {
            0 -> node.view = names.filter { it == node.name || random.nextInt(3) > 0 }.toSet()
            1 -> node.view = names.toSet()
            2 -> node.pausedUntilMs = now + random.nextLong(2_000)
            3 -> if (random.nextInt(4) == 0) nodes[node.name] = Node(node.name, now.toInt(), now)
            4 -> node.sends = !node.sends
            5 -> if (random.nextInt(8) == 0 && names.size < MAX_SIZE) add(InstanceId("j$now"))
        }
    }

    /** A new instance makes itself known to all before it follows anyone. */
    private fun add(name: InstanceId) {
        nodes.keys.forEach { metAtMs[it to name] = now + random.nextLong(JOIN_MS) }
        names += name
        nodes[name] = Node(name, now.toInt(), now).also { it.pausedUntilMs = now + JOIN_MS }
    }

    private fun deliver() {
        val due = messages.filter { it.atMs <= now && now >= nodes.getValue(it.to).pausedUntilMs }.shuffled(random)
        messages.removeAll(due)
        for (message in due) {
            val node = nodes.getValue(message.to)
            message.deliver(node)
        }
    }

    private fun post(to: InstanceId, local: Boolean, deliver: (Node) -> Unit) {
        if (faults && !local && random.nextInt(10) == 0) return
        messages += Message(to, if (local) now else now + random.nextLong(if (faults) 60 else 3), deliver)
    }

    private class Message(val to: InstanceId, val atMs: Long, val deliver: (Node) -> Unit)

    private class Call(val node: Node, val endsAtMs: Long)

    private inner class Node(val name: InstanceId, life: Int, nowMs: Long) {
        private val clockOffset = random.nextLong(1_000_000)
        private val id get() = HolderId(name, incarnation)
        private val incarnation = Incarnation(nowMs, life)
        private val ledger = CreditLedger(endpoint, incarnation, timing)
        val holder = CreditHolder(endpoint, timing, startedAtMs = nowMs + clockOffset)
        var view = names.toSet()
        var pausedUntilMs = 0L
        var sends = true
        private var nextRenewalMs = 0L

        private fun clock() = now + clockOffset

        fun act() {
            if (now >= nextRenewalMs && !equalSplit) renew()
            if (sends && random.nextInt(20) == 0 && start()) {
                calls += Call(this, now + 1 + random.nextLong(timing.drainMs))
            }
        }

        private fun start(): Boolean {
            if (!equalSplit) return holder.tryStart(clock())
            return calls.count { it.node === this } < EqualSplit.share(limit, view.size)
        }

        private fun renew() {
            nextRenewalMs = now + random.nextLong(20, 30)
            if (!holder.isDue(clock())) return
            val owner = Rendezvous.owner(endpoint, view) ?: return
            val role = if (name in electorate().voters) HolderRole.VOTER else HolderRole.BORROWER
            val extra = ledger.unreportedElsewhere(clock())
            if (role == HolderRole.BORROWER && !sends && holder.inFlight == 0 && extra == 0) return
            holder.expectDemand(if (sends) random.nextInt(4) else 0, clock())
            val sent = holder.nextRequest(owner, role, sends, clock(), if (owner == name) 0 else extra)
            post(sent.owner, local = sent.owner == name) { it.answer(sent, this) }
        }

        private fun electorate(): Electorate {
            val known = names.filter { (metAtMs[name to it] ?: 0) <= now }.toSet()
            val recent = known.filter { now - (metAtMs[name to it] ?: -REMEMBER_MS) < REMEMBER_MS }.toSet()
            return Electorate.of(endpoint, known, recent)
        }

        private fun answer(sent: AddressedCreditRequest, from: Node) {
            val answer = ledger.answer(from.id, sent.request, electorate(), limit, clock())
            post(from.name, local = from.name == name) { if (it === from) it.accept(sent, answer) }
        }

        private fun accept(sent: AddressedCreditRequest, answer: CreditAnswer) = holder.accept(sent, answer, clock())
    }

    private companion object {
        const val MAX_SIZE = 10
        const val JOIN_MS = 60L
        const val REMEMBER_MS = 1_500L
    }
}
