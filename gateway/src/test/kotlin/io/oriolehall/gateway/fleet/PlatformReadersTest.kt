package io.oriolehall.gateway.fleet

import io.oriolehall.model.Incarnation
import io.oriolehall.model.InstanceId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.ZoneId
import io.oriolehall.policy.membership.Member
import io.oriolehall.policy.membership.MemberState
import io.oriolehall.policy.membership.MembershipView
import kotlinx.collections.immutable.toPersistentMap
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNull

class PlatformReadersTest {
    private fun member(number: Int, zone: String, state: MemberState = MemberState.ALIVE) = Member(
        id = InstanceId("i$number"),
        zone = ZoneId(zone),
        address = NetworkAddress("127.0.0.1", number),
        incarnation = Incarnation(1, 1),
        state = state,
        sinceMs = 0,
    )

    private fun fleet(perZone: Int, zones: Int): List<Member> =
        List(perZone * zones) { member(it + 1, "z${it % zones}") }

    private fun readerOf(self: Member, members: List<Member>): Member? = PlatformReaders.readerFor(
        MembershipView(self.id, self.zone, members.associateBy(Member::id).toPersistentMap()),
    )

    @Test
    fun `in a small zone one instance reads the platform, and the only instance of a zone does`() {
        val members = fleet(perZone = 3, zones = 3)
        expectThat(members.count { readerOf(it, members) == null }).isEqualTo(3)
        val single = fleet(perZone = 1, zones = 3)
        expectThat(single.map { readerOf(it, single) }).all { isNull() }
    }

    @Test
    fun `in a large fleet a few of each zone read and the others follow one of those`() {
        val members = fleet(perZone = 44, zones = 8)
        val (readers, followers) = members.partition { readerOf(it, members) == null }
        expectThat(readers).hasSize(4 * 8)
        for (follower in followers) {
            val reader = checkNotNull(readerOf(follower, members))
            expectThat(readers).contains(reader)
            expectThat(reader.zone) isEqualTo follower.zone
        }
        val maxFollowers = followers.groupingBy { readerOf(it, members) }.eachCount().values.max()
        expectThat(maxFollowers).describedAs("followers of one reader").isLessThanOrEqualTo(2 * 44 / 4)
    }

    @Test
    fun `the largest machines of a zone read the platform`() {
        val members = fleet(perZone = 20, zones = 1).mapIndexed { i, member ->
            member.copy(cores = if (i < 3) 1.5 else 0.36)
        }
        val readers = members.filter { readerOf(it, members) == null }
        expectThat(readers.map { it.cores }).isEqualTo(listOf(1.5, 1.5))
    }

    @Test
    fun `where few machines are large, small ones complete the readers`() {
        val members = fleet(perZone = 20, zones = 1).mapIndexed { i, member ->
            member.copy(cores = if (i == 0) 1.5 else 0.36)
        }
        val readers = members.filter { readerOf(it, members) == null }
        expectThat(readers).hasSize(2).contains(members.first())
    }

    @Test
    fun `owners are chosen among the largest machines only`() {
        val members = fleet(perZone = 20, zones = 1).mapIndexed { i, member ->
            member.copy(cores = if (i < 4) 1.5 else 0.36)
        }
        val owners =
            Owners(MembershipView(members[0].id, members[0].zone, members.associateBy(Member::id).toPersistentMap()))
        val chosen = (1..50).map { owners.of("queue $it") }
        expectThat(chosen).all { get { this?.cores }.isEqualTo(1.5) }
    }

    @Test
    fun `a reader that leaves or is dead is followed no more`() {
        val members = fleet(perZone = 20, zones = 1)
        val follower = members.first { readerOf(it, members) != null }
        val reader = checkNotNull(readerOf(follower, members))
        for (state in listOf(MemberState.LEAVING, MemberState.DEAD, MemberState.LEFT)) {
            val after = members.map { if (it.id == reader.id) it.copy(state = state) else it }
            expectThat(readerOf(follower, after)?.id) isNotEqualTo reader.id
        }
    }
}
