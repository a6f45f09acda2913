package io.oriolehall.policy.limits

import io.oriolehall.model.EndpointId
import io.oriolehall.model.Incarnation
import io.oriolehall.model.InstanceId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class CreditLedgerTest {
    private val timing = CreditTiming(leaseMs = 100, echoMs = 100, drainMs = 400, marginMs = 10)
    private val endpoint = EndpointId("e")
    private val self = Incarnation(1, 1)
    private val ledger = CreditLedger(endpoint, self, timing)
    private val members = setOf(InstanceId("a"), InstanceId("b"))
    private val sequences = mutableMapOf<String, Long>()
    private val stamps = mutableMapOf<String, CreditStamp>()
    private var now = 0L

    private fun ask(
        holder: String,
        wanted: Int = 1,
        inFlight: Int = 0,
        role: HolderRole = HolderRole.MEMBER,
        ageMs: Long = 10_000,
        life: Int = 1,
    ): CreditAnswer {
        val sequence = sequences.merge(holder, 1, Long::plus) ?: 1
        val request = CreditRequest(
            endpoint = endpoint,
            holder = InstanceId(holder),
            incarnation = Incarnation(1, life),
            sequence = sequence,
            role = role,
            echo = stamps[holder],
            inFlight = inFlight,
            wanted = wanted,
            ageMs = ageMs,
        )
        return ledger.answer(request, members, LIMIT, now).also { stamps[holder] = it.stamp }
    }

    private fun allFollow() = repeat(2) { listOf("a", "b").forEach(::ask) }

    @Test
    fun `a first contact grants nothing and the whole limit is given once all members follow`() {
        expectThat(ask("a").credits).isEqualTo(0)
        expectThat(ask("a").credits).describedAs("b does not follow").isEqualTo(0)
        ask("b")
        ask("b")
        val sums = List(3) { ask("a", wanted = LIMIT).credits + ask("b", wanted = 0).credits }
        expectThat(sums.last()).describedAs("after a renewal of both").isEqualTo(LIMIT)
    }

    @Test
    fun `a follower of long standing has its share while another member is silent`() {
        repeat(8) {
            ask("a", wanted = LIMIT)
            now += 80
        }
        expectThat(ask("a", wanted = LIMIT).credits).isEqualTo(LIMIT / 2)
    }

    @Test
    fun `guests receive what the members leave`() {
        allFollow()
        ask("guest", wanted = LIMIT, role = HolderRole.GUEST)
        ask("a", wanted = LIMIT - 1)
        ask("a", wanted = LIMIT - 1)
        ask("b", wanted = 0)
        ask("b", wanted = 0)
        expectThat(ask("guest", wanted = LIMIT, role = HolderRole.GUEST).credits).isEqualTo(1)
        expectThat(ledger.unreportedElsewhere(now)).isEqualTo(1)
    }

    @Test
    fun `calls of a holder that fell silent count until they must have ended`() {
        allFollow()
        ask("a", wanted = LIMIT, inFlight = LIMIT)
        now += timing.leaseMs + 1
        expectThat(ledger.followers(now).size).isEqualTo(0)
        expectThat(ledger.committed(now) >= LIMIT).isEqualTo(true)
        now += timing.drainMs + timing.marginMs
        expectThat(ledger.committed(now)).isEqualTo(0)
    }

    @Test
    fun `a young process withholds the full limit until its predecessor's calls must have ended`() {
        allFollow()
        ask("b", ageMs = 5, life = 2)
        expectThat(ask("a", wanted = LIMIT).credits).isEqualTo(0)
    }

    private companion object {
        const val LIMIT = 4
    }
}
