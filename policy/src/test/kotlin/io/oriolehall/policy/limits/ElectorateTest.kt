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
    private val names = (1..44).map { InstanceId("i$it") }

    @Test
    fun `all members of a small zone vote and five of a large one`() {
        expectThat(Electorate.of(endpoint, names.take(3).toSet()).voters).hasSize(3)
        expectThat(Electorate.of(endpoint, names.toSet()).voters).hasSize(Electorate.SIZE)
    }

    @Test
    fun `shares of owners add up to the limit while new members are known to some only`() {
        for (seed in 1..2_000) {
            val random = Random(seed)
            val old = names.shuffled(random).take(random.nextInt(1, 12)).toSet()
            val new = (names - old).shuffled(random).take(random.nextInt(1, 4)).toSet()
            val informed = Electorate.of(endpoint, old + new, recent = new)
            val uninformed = Electorate.of(endpoint, old)
            val (one, other) = (old + new).partition { random.nextBoolean() }
            val sum = informed.share(LIMIT, one.toSet()) + uninformed.share(LIMIT, other.toSet())
            expectThat(sum).describedAs("seed $seed").isLessThanOrEqualTo(LIMIT)
        }
    }

    @Test
    fun `all voters together hold the whole limit`() {
        val electorate = Electorate.of(endpoint, names.toSet(), recent = names.take(2).toSet())
        expectThat(electorate.isCoveredBy(electorate.voters)).isEqualTo(true)
        expectThat(electorate.share(LIMIT, electorate.voters)).isEqualTo(LIMIT)
    }

    private companion object {
        const val LIMIT = 60
    }
}
