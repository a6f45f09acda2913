package io.oriolehall.policy.limits

import io.oriolehall.model.EndpointId
import io.oriolehall.model.Incarnation
import io.oriolehall.model.InstanceId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class CreditLedgerTest {
    private val timing = CreditTiming(leaseMs = 100, maxStampAgeMs = 100, drainMs = 400, marginMs = 10, renewMs = 50)
    private val endpoint = EndpointId("e")
    private val self = Incarnation(startedAtMs = 0, nonce = 0)
    private val ledger = CreditLedger(endpoint, self, timing)
    private val members = setOf(InstanceId("a"), InstanceId("b"))
    private val sequences = mutableMapOf<String, Long>()
    private val stamps = mutableMapOf<String, CreditStamp>()
    private var nowMs = 0L

    private fun request(
        holder: String,
        wanted: Int = 1,
        inFlight: Int = 0,
        role: HolderRole = HolderRole.VOTER,
        ageMs: Long = 10_000,
        nonce: Int = 1,
        stamp: CreditStamp? = stamps[holder],
    ): CreditAnswer {
        val sequence = sequences.merge(holder, 1, Long::plus) ?: 1
        val creditRequest = CreditRequest(
            endpoint = endpoint,
            sequence = sequence,
            role = role,
            echo = stamp,
            inFlight = inFlight,
            wanted = wanted,
            ageMs = ageMs,
        )
        val id = HolderId(InstanceId(holder), Incarnation(1, nonce))
        return ledger.answer(id, creditRequest, Electorate.of(endpoint, members), LIMIT, nowMs).also {
            stamps[holder] = it.stamp
        }
    }

    private fun letAllFollow() = repeat(2) { listOf("a", "b").forEach(::request) }

    @Test
    fun `a first contact grants nothing and the whole limit is given once all members follow`() {
        expectThat(request("a").credits).isEqualTo(0)
        expectThat(request("a").credits).describedAs("b does not follow this owner").isEqualTo(0)
        request("b")
        request("b")
        val sums = List(3) { request("a", wanted = LIMIT).credits + request("b", wanted = 0).credits }
        expectThat(sums.last()).describedAs("after a renewal of both").isEqualTo(LIMIT)
    }

    @Test
    fun `a follower of long standing has its share while another member is silent`() {
        repeat(8) {
            request("a", wanted = LIMIT)
            nowMs += 80
        }
        expectThat(request("a", wanted = LIMIT).credits).isEqualTo(LIMIT / 2)
    }

    @Test
    fun `guests receive what the members leave`() {
        letAllFollow()
        request("guest", wanted = LIMIT, role = HolderRole.GUEST)
        request("a", wanted = LIMIT - 1)
        request("a", wanted = LIMIT - 1)
        request("b", wanted = 0)
        request("b", wanted = 0)
        expectThat(request("guest", wanted = LIMIT, role = HolderRole.GUEST).credits).isEqualTo(1)
        expectThat(ledger.callsUnknownToNewOwner(nowMs)).describedAs("credits of a and of the guest").isEqualTo(LIMIT)
    }

    @Test
    fun `calls of a holder that fell silent count until they must have ended`() {
        letAllFollow()
        request("a", wanted = LIMIT, inFlight = LIMIT)
        nowMs += timing.leaseMs + 1
        expectThat(ledger.followers(nowMs).size).isEqualTo(0)
        expectThat(ledger.committed(nowMs) >= LIMIT).isEqualTo(true)
        nowMs += timing.drainMs + timing.marginMs
        expectThat(ledger.committed(nowMs)).isEqualTo(0)
    }

    @Test
    fun `a young process withholds the full limit until its predecessor's calls must have ended`() {
        letAllFollow()
        request("b", ageMs = 5, nonce = 2)
        expectThat(request("a", wanted = LIMIT).credits).isEqualTo(0)
    }

    @Test
    fun `a request that was under way for longer than a stamp lasts revives no allegiance`() {
        letAllFollow()
        val staleStamp = stamps.getValue("a")
        nowMs += timing.maxStampAgeMs + 1
        expectThat(ledger.followers(nowMs)).describedAs("both have expired").isEqualTo(emptySet())
        val lateAnswer = request("a", wanted = LIMIT, stamp = staleStamp)
        expectThat(lateAnswer.credits).isEqualTo(0)
        expectThat(lateAnswer.renewMs).describedAs("request again immediately").isEqualTo(0)
        expectThat(ledger.followers(nowMs)).describedAs("after the late request").isEqualTo(emptySet())
        request("b")
        expectThat(request("b", wanted = LIMIT).credits).describedAs("a does not follow this owner").isEqualTo(0)
    }

    @Test
    fun `an instance without a vote takes credits and does not count in the owner's share`() {
        letAllFollow()
        repeat(2) { request("c", wanted = 2, role = HolderRole.BORROWER) }
        request("a", wanted = 1)
        request("a", wanted = 1)
        expectThat(request("c", wanted = 2, role = HolderRole.BORROWER).credits).isEqualTo(2)
        expectThat(ledger.followers(nowMs)).isEqualTo(members)
    }

    @Test
    fun `a renewal is soon while more is wanted than there is and at once for want of a fresh stamp`() {
        expectThat(request("a").renewMs).isEqualTo(0)
        letAllFollow()
        expectThat(request("a", wanted = 1).renewMs).isEqualTo(timing.renewMs)
        expectThat(request("a", wanted = LIMIT + 1).renewMs).isEqualTo(timing.contendedRenewMs)
    }

    private companion object {
        const val LIMIT = 4
    }
}
