package io.oriolehall.policy.limits

import io.oriolehall.model.EndpointId
import io.oriolehall.model.Incarnation
import io.oriolehall.model.InstanceId
import io.oriolehall.policy.hashing.Rendezvous
import kotlin.random.Random

/**
 * Instances of one zone around one endpoint, in steps of one millisecond, with faults drawn from a seed: messages are
 * late, lost and overtake each other; lists of members disagree; instances are paused, killed and replaced.
 */
internal class CreditFleet(seed: Long, size: Int, private val limit: Int, private val equalSplit: Boolean = false) {
    private val random = Random(seed)
    private val endpoint = EndpointId("e")
    private val timing = CreditTiming(leaseMs = 200, echoMs = 200, drainMs = 400, marginMs = 20)
    private val names = (1..size).map { InstanceId("i$it") }
    private val nodes = names.associateWith { Node(it, 0, nowMs = 0) }.toMutableMap()
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
        nodes.values.forEach { it.view = names.toSet() }
    }

    private fun breakSomething() {
        val node = nodes.getValue(names.random(random))
        when (random.nextInt(400)) {
            0 -> node.view = names.filter { it == node.name || random.nextInt(3) > 0 }.toSet()
            1 -> node.view = names.toSet()
            2 -> node.pausedUntilMs = now + random.nextLong(2_000)
            3 -> if (random.nextInt(4) == 0) nodes[node.name] = Node(node.name, now.toInt(), now)
        }
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
        private val incarnation = Incarnation(nowMs, life)
        private val ledger = CreditLedger(endpoint, incarnation, timing)
        val holder = CreditHolder(endpoint, name, incarnation, timing, startedAtMs = nowMs + clockOffset)
        var view = names.toSet()
        var pausedUntilMs = 0L
        private var nextRenewalMs = 0L

        private fun clock() = now + clockOffset

        fun act() {
            if (now >= nextRenewalMs && !equalSplit) renew()
            if (random.nextInt(20) == 0 && start()) {
                calls += Call(this, now + 1 + random.nextLong(timing.drainMs))
            }
        }

        private fun start(): Boolean {
            if (!equalSplit) return holder.tryStart(clock())
            return calls.count { it.node === this } < EqualSplit.share(limit, view.size)
        }

        private fun renew() {
            nextRenewalMs = now + random.nextLong(40, 60)
            val owner = Rendezvous.owner(endpoint, view) ?: return
            holder.expectDemand(random.nextInt(4))
            val sent = holder.nextRequest(owner, clock(), ledger.unreportedElsewhere(clock()))
            post(sent.owner, local = sent.owner == name) { it.answer(sent, this) }
        }

        private fun answer(sent: AddressedCreditRequest, from: Node) {
            val answer = ledger.answer(sent.request, names.toSet(), limit, clock())
            post(from.name, local = from.name == name) { if (it === from) it.accept(sent, answer) }
        }

        private fun accept(sent: AddressedCreditRequest, answer: CreditAnswer) = holder.accept(sent, answer, clock())
    }
}
