package io.oriolehall.harness.capacity

import io.oriolehall.entry.limits.CreditAnswers
import io.oriolehall.entry.limits.CreditBatch
import io.oriolehall.entry.limits.LeasedLimits
import io.oriolehall.model.EndpointId
import io.oriolehall.model.Incarnation
import io.oriolehall.model.InstanceId
import io.oriolehall.model.ZoneId
import io.oriolehall.peer.PeerCodec
import io.oriolehall.policy.hashing.Rendezvous
import io.oriolehall.policy.limits.AddressedCreditRequest
import io.oriolehall.policy.limits.CreditHolder
import io.oriolehall.policy.limits.CreditLedger
import io.oriolehall.policy.limits.CreditTiming

/** All holders and owners of one zone's endpoints in this process, with real messages between them. */
internal class CreditProbe(private val instances: Int, private val endpoints: Int) {
    private val timing = CreditTiming()
    private val requests = PeerCodec("credits", CreditBatch.serializer())
    private val answers = PeerCodec("credits", CreditAnswers.serializer())
    private val endpointIds = List(endpoints) { EndpointId("engine-zone-1-$it") }
    private val ids = List(instances) { InstanceId("entry-zone-1-$it") }
    private val known = ids.toSet()
    private var nodes = emptyMap<InstanceId, Node>()
    private var nowMs = 0L
    private var bytes = 0L
    private var messages = 0L

    private inner class Node(val id: InstanceId, index: Int) {
        private val incarnation = Incarnation(START_MS, index)
        private val holders =
            endpointIds.associateWith { CreditHolder(it, id, incarnation, timing, startedAtMs = 0) }
        private val ledgers = HashMap<EndpointId, CreditLedger>()

        fun renew() {
            val asked = endpointIds.map { holders.getValue(it).nextRequest(ownerOf(it), nowMs) }
            for ((owner, batch) in asked.groupBy(AddressedCreditRequest::owner)) {
                val given = nodes.getValue(owner).answer(batch, remote = owner != id)
                batch.zip(given.answers).forEach { (sent, answer) ->
                    holders.getValue(sent.request.endpoint).accept(sent, answer, nowMs)
                }
            }
        }

        private fun answer(batch: List<AddressedCreditRequest>, remote: Boolean): CreditAnswers {
            val message = CreditBatch(batch.first().request.holder, Zone, batch.map { it.request })
            val taken = if (remote) transfer(requests, message) else message
            val given = CreditAnswers(
                taken.requests.map { request ->
                    val ledger = ledgers.getOrPut(request.endpoint) {
                        CreditLedger(request.endpoint, incarnation, timing)
                    }
                    ledger.answer(request, known, LIMIT, nowMs)
                },
            )
            return if (remote) transfer(answers, given) else given
        }
    }

    fun measure(): List<Quantity> {
        val kept = Meter.keptBytes {
            build()
            nodes.also { nodes = emptyMap() }
        }
        build()
        bytes = 0
        messages = 0
        val cpu = Meter.cpuMs { repeat(ROUNDS) { round() } }
        val perSecond = MS_PER_SECOND / LeasedLimits.RENEW_MS / (instances * ROUNDS)
        return listOf(
            Quantity("processor", "ms a second", cpu * perSecond),
            Quantity("traffic", "bytes a second, both directions", 2 * bytes * perSecond),
            Quantity("messages", "a second, both directions", 2 * messages * perSecond),
            Quantity("memory", "bytes", kept / instances),
        )
    }

    private fun build() {
        nodes = ids.mapIndexed { index, id -> id to Node(id, index) }.toMap()
        repeat(WARM_ROUNDS) { round() }
    }

    private fun round() {
        nowMs += LeasedLimits.RENEW_MS
        nodes.values.forEach { it.renew() }
    }

    private fun ownerOf(endpoint: EndpointId) = checkNotNull(Rendezvous.owner(endpoint, ids))

    private fun <T> transfer(codec: PeerCodec<T>, message: T): T {
        val frame = codec.encode(message)
        bytes += frame.size + PeerCodec.HEADER_BYTES
        messages++
        return codec.decode(frame)
    }

    private companion object {
        val Zone = ZoneId("zone-1")
        const val START_MS = 1_790_000_000_000L
        const val LIMIT = 64
        const val WARM_ROUNDS = 10
        const val ROUNDS = 10
        const val MS_PER_SECOND = 1_000.0
    }
}
