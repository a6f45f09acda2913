package io.oriolehall.policy.limits

import io.oriolehall.model.EndpointId
import io.oriolehall.model.InstanceId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

class ElectorateTest {
    private val endpoint = EndpointId("e")
    private val instances = (1..44).map { InstanceId("i$it") }

    @Test
    fun `all members of a small zone vote and five of a large one`() {
        expectThat(Electorate.of(endpoint, instances.take(3).toSet()).voters).hasSize(3)
        expectThat(Electorate.of(endpoint, instances.toSet()).voters).hasSize(Electorate.MAX_VOTERS)
    }

    @Test
    fun `shares of owners add up to the limit while new members are known to some only`() {
        for (seed in 1..2_000) {
            val random = Random(seed)
            val oldMembers = instances.shuffled(random).take(random.nextInt(1, 12)).toSet()
            val newMembers = (instances - oldMembers).shuffled(random).take(random.nextInt(1, 4)).toSet()
            val informed = Electorate.of(endpoint, oldMembers + newMembers, recent = newMembers)
            val uninformed = Electorate.of(endpoint, oldMembers)
            val (firstFollowers, secondFollowers) = (oldMembers + newMembers).partition { random.nextBoolean() }
            val sum = informed.share(LIMIT, firstFollowers.toSet()) + uninformed.share(LIMIT, secondFollowers.toSet())
            expectThat(sum).describedAs("seed $seed").isLessThanOrEqualTo(LIMIT)
        }
    }

    @Test
    fun `all voters together hold the whole limit`() {
        val electorate = Electorate.of(endpoint, instances.toSet(), recent = instances.take(2).toSet())
        expectThat(electorate.isCoveredBy(electorate.voters)).isEqualTo(true)
        expectThat(electorate.share(LIMIT, electorate.voters)).isEqualTo(LIMIT)
    }

    private companion object {
        const val LIMIT = 60
    }
}
