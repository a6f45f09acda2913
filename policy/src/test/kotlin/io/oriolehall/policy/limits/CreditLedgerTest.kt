package io.oriolehall.policy.limits

import io.oriolehall.model.EndpointId
import io.oriolehall.model.Incarnation
import io.oriolehall.model.InstanceId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class CreditLedgerTest {
    private val timing = CreditTiming(leaseMs = 100, echoMs = 100, drainMs = 400, marginMs = 10, renewMs = 50)
    private val endpoint = EndpointId("e")
    private val self = Incarnation(startedAtMs = 0, nonce = 0)
    private val ledger = CreditLedger(endpoint, self, timing)
    private val members = setOf(InstanceId("a"), InstanceId("b"))
    private val sequences = mutableMapOf<String, Long>()
    private val stamps = mutableMapOf<String, CreditStamp>()
    private var now = 0L

    private fun ask(
        holder: String,
        wanted: Int = 1,
        inFlight: Int = 0,
        role: HolderRole = HolderRole.VOTER,
        ageMs: Long = 10_000,
        life: Int = 1,
        stamp: CreditStamp? = stamps[holder],
    ): CreditAnswer {
        val sequence = sequences.merge(holder, 1, Long::plus) ?: 1
        val request = CreditRequest(
            endpoint = endpoint,
            sequence = sequence,
            role = role,
            echo = stamp,
            inFlight = inFlight,
            wanted = wanted,
            ageMs = ageMs,
        )
        val id = HolderId(InstanceId(holder), Incarnation(1, life))
        return ledger.answer(id, request, Electorate.of(endpoint, members), LIMIT, now).also {
            stamps[holder] = it.stamp
        }
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
        expectThat(ledger.unreportedElsewhere(now)).describedAs("a's and the guest's").isEqualTo(LIMIT)
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

    @Test
    fun `a request that was under way for longer than a stamp lasts revives no allegiance`() {
        allFollow()
        val stampOfA = stamps.getValue("a")
        now += timing.echoMs + 1
        expectThat(ledger.followers(now)).describedAs("both have lapsed").isEqualTo(emptySet())
        val late = ask("a", wanted = LIMIT, stamp = stampOfA)
        expectThat(late.credits).isEqualTo(0)
        expectThat(late.renewMs).describedAs("ask again at once").isEqualTo(0)
        expectThat(ledger.followers(now)).describedAs("after the late request").isEqualTo(emptySet())
        ask("b")
        expectThat(ask("b", wanted = LIMIT).credits).describedAs("a does not follow").isEqualTo(0)
    }

    @Test
    fun `an instance without a vote takes credits and does not count in the owner's share`() {
        allFollow()
        repeat(2) { ask("c", wanted = 2, role = HolderRole.BORROWER) }
        ask("a", wanted = 1)
        ask("a", wanted = 1)
        expectThat(ask("c", wanted = 2, role = HolderRole.BORROWER).credits).isEqualTo(2)
        expectThat(ledger.followers(now)).isEqualTo(members)
    }

    @Test
    fun `a renewal is soon while more is wanted than there is and at once for want of a fresh stamp`() {
        expectThat(ask("a").renewMs).isEqualTo(0)
        allFollow()
        expectThat(ask("a", wanted = 1).renewMs).isEqualTo(timing.renewMs)
        expectThat(ask("a", wanted = LIMIT + 1).renewMs).isEqualTo(timing.contendedMs)
    }

    private companion object {
        const val LIMIT = 4
    }
}
