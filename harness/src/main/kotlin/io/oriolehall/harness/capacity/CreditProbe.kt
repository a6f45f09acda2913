package io.oriolehall.harness.capacity

import io.oriolehall.entry.limits.CreditAnswers
import io.oriolehall.entry.limits.CreditBatch
import io.oriolehall.entry.limits.LeasedLimits
import io.oriolehall.model.Endpoint
import io.oriolehall.model.EndpointId
import io.oriolehall.model.Incarnation
import io.oriolehall.model.InstanceId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.PoolId
import io.oriolehall.model.ZoneId
import io.oriolehall.peer.PeerCodec
import io.oriolehall.policy.limits.AddressedCreditRequest
import io.oriolehall.policy.limits.CreditAnswer
import io.oriolehall.policy.limits.CreditHolder
import io.oriolehall.policy.limits.CreditLedger
import io.oriolehall.policy.limits.CreditPlan
import io.oriolehall.policy.limits.CreditTiming
import io.oriolehall.policy.limits.HolderId
import io.oriolehall.policy.limits.HolderRole
import io.oriolehall.policy.limits.ZoneMemberView

/**
 * All holders and owners of one zone's endpoints in this process, with real messages between them. The endpoints form
 * four pools and every instance sends to its subset of each.
 */
internal class CreditProbe(
    private val instances: Int,
    private val endpoints: Int,
    private val subsetSize: Int = CreditPlan.SUBSET_SIZE,
    private val timing: CreditTiming = CreditTiming(),
) {
    private val requests = PeerCodec("credits", CreditBatch.serializer())
    private val answers = PeerCodec("credits", CreditAnswers.serializer())
    private val all = List(endpoints) {
        Endpoint(EndpointId("engine-zone-1-$it"), ZONE, PoolId("pool-${it % POOLS}"), ADDRESS)
    }
    private val ids = List(instances) { InstanceId("entry-zone-1-$it") }
    private var nodes = emptyMap<InstanceId, Node>()
    private var nowMs = 0L
    private var bytes = 0L
    private var messages = 0L

    private inner class Node(val id: InstanceId, index: Int) {
        private val incarnation = Incarnation(START_MS, index)
        private val plan = CreditPlan(id, ZONE, all, ZoneMemberView(ids.toSet(), ids.toSet(), emptySet()), subsetSize)
        private val holders = HashMap<EndpointId, CreditHolder>()
        private val ledgers = HashMap<EndpointId, CreditLedger>()

        fun renew() {
            val asked = plan.endpoints.mapNotNull(::request)
            for ((owner, batch) in asked.groupBy(AddressedCreditRequest::owner)) {
                val given = nodes.getValue(owner).answer(this, batch)
                batch.zip(given).forEach { (sent, answer) ->
                    holders.getValue(sent.request.endpoint).accept(sent, answer, nowMs)
                }
            }
        }

        private fun request(endpoint: Endpoint): AddressedCreditRequest? {
            val inUse = plan.isInSubset(endpoint)
            val role = plan.role(endpoint)
            if (!inUse && role != HolderRole.VOTER) return null
            val holder = holders.getOrPut(endpoint.id) { CreditHolder(endpoint.id, timing, startedAtMs = 0) }
            if (!holder.isDue(nowMs)) return null
            return holder.nextRequest(checkNotNull(plan.owner(endpoint.id)), role, inUse, nowMs)
        }

        private fun answer(from: Node, batch: List<AddressedCreditRequest>): List<CreditAnswer> {
            val message = CreditBatch(HolderId(from.id, from.incarnation), ZONE, batch.map { it.request })
            if (from === this) return grant(message)
            return transfer(answers, CreditAnswers(grant(transfer(requests, message)))).answers
        }

        private fun grant(batch: CreditBatch): List<CreditAnswer> = batch.requests.map { request ->
            val id = request.endpoint
            val ledger = ledgers.getOrPut(id) { CreditLedger(id, incarnation, timing) }
            ledger.answer(batch.holder, request, plan.electorate(id), LIMIT, nowMs)
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
        val perSecond = MS_PER_SECOND / LeasedLimits.TICK_MS / (instances * ROUNDS)
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
        nowMs += LeasedLimits.TICK_MS
        nodes.values.forEach { it.renew() }
    }

    private fun <T> transfer(codec: PeerCodec<T>, message: T): T {
        val frame = codec.encode(message)
        bytes += frame.size + PeerCodec.HEADER_BYTES
        messages++
        return codec.decode(frame)
    }

    companion object {
        /** Every endpoint renewed at each tick, for comparison. */
        val EACH_TICK = CreditTiming(
            leaseMs = 1_000,
            maxStampAgeMs = 1_000,
            renewMs = LeasedLimits.TICK_MS,
            contendedRenewMs = LeasedLimits.TICK_MS,
        )
        private val ZONE = ZoneId("zone-1")
        private val ADDRESS = NetworkAddress("10.0.0.1", 9_000)
        private const val POOLS = 4
        private const val START_MS = 1_790_000_000_000L
        private const val LIMIT = 64
        private const val WARM_ROUNDS = 32
        private const val ROUNDS = 40
        private const val MS_PER_SECOND = 1_000.0
    }
}
