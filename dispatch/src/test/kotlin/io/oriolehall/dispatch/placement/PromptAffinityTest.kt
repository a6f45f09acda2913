package io.oriolehall.dispatch.placement

import io.oriolehall.dispatch.endpoints.EndpointRecord
import io.oriolehall.model.EndpointId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.ZoneId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNull
import kotlin.random.Random

class PromptAffinityTest {
    private val affinity = PromptAffinity()

    private fun parts(vararg sizes: Pair<String, Long>) = sizes.map { (id, tokens) -> PromptPart(id, tokens) }

    @Test
    fun `the largest shared part decides, not the request's own`() {
        expectThat(affinity.choose(parts("s" to 512, "u" to 4_870, "own" to 9_000), 6, 0)) isEqualTo "u"
        expectThat(affinity.choose(parts("s" to 341, "u" to 227, "own" to 1_800), 6, 0)) isEqualTo "s"
    }

    @Test
    fun `a prompt that shares nothing has no affinity`() {
        expectThat(affinity.choose(parts("own" to 100), 6, 0)).isNull()
        expectThat(affinity.choose(emptyList(), 6, 0)).isNull()
    }

    @Test
    fun `a large part that all requests have gives way to a finer one`() {
        val chosen = (1..100).map { affinity.choose(parts("all" to 8_000, "u$it" to 200, "own$it" to 50), 6, it * 10L) }
        expectThat(chosen.drop(20)).containsExactly((21..100).map { "u$it" })
    }

    @Test
    fun `an unreadable entry is left out`() {
        expectThat(PromptAffinity.parse("5c1e:800, 91bd:410,x,:,e4:2z")).containsExactly(
            PromptPart("5c1e", 800),
            PromptPart("91bd", 410),
        )
    }

    /**
     * Load: 40 prefixes of 341 tokens, each shared by five users with a part of 227 tokens, over 13 endpoints that keep
     * all that they have read. Going by the last shared part reads each prefix at several endpoints.
     */
    @Test
    fun `fewer tokens are read again than by the last shared part`() {
        val byLargest = readAgain { affinity.choose(it, ENDPOINTS, 0) }
        val byLast = readAgain { it[it.size - 2].id }
        expectThat(byLast).isGreaterThan(0)
        expectThat(byLargest).isLessThan(byLast / 4)
    }

    private fun readAgain(choose: (List<PromptPart>) -> String?): Long {
        val random = Random(1)
        val placement = AffinityPlacement()
        val endpoints = List(ENDPOINTS) {
            val id = EndpointId("e$it")
            PlacementCandidate(
                EndpointRecord(id, 1, "s", NetworkAddress("127.0.0.1", 1), ZoneId("z"), 64, false, 0),
                outstanding = 0,
            )
        }
        val kept = HashMap<String, MutableSet<String>>()
        var again = 0L
        repeat(2_000) { number ->
            val prefix = random.nextInt(40)
            val user = random.nextInt(5)
            val prompt = parts("s$prefix" to 341, "u$prefix-$user" to 227, "own$number" to 1_800)
            val request = PlacementRequest(choose(prompt), inputZone = null, ownZone = ZoneId("z"))
            val endpoint = checkNotNull(placement.choose(endpoints, request)).endpoint.id.value
            for (part in prompt.dropLast(1)) {
                val holders = kept.getOrPut(part.id) { mutableSetOf() }
                if (holders.isNotEmpty() && endpoint !in holders) again += part.tokens
                holders += endpoint
            }
        }
        return again
    }

    private companion object {
        const val ENDPOINTS = 13
    }
}
