package io.oriolehall.proofs.keys

import io.oriolehall.cli.client.CallOutcome
import io.oriolehall.harness.fleet.Fleet
import io.oriolehall.harness.fleet.newKey
import io.oriolehall.harness.fleet.withFleet
import io.oriolehall.model.RunOutcome
import io.oriolehall.standins.endpoint.Behaviour
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/** Thousands of orders under kills, pauses, cuts and failing endpoints, checked against the endpoints' counts. */
class KeyRandomisedTest {
    private val seed = System.getProperty("keys.seed")?.toLong() ?: 20_261_204L
    private val requests = Integer.getInteger("keys.requests", 2_000)
    private val told = ConcurrentHashMap<String, ConcurrentLinkedQueue<CallOutcome>>()
    private val answers = ConcurrentHashMap<String, String>()
    private val customers = ConcurrentHashMap<String, String>()

    @Test
    fun `what callers were told agrees with what the endpoints ran`() =
        withFleet("keys-random", { orders(zones = 3, entriesPerZone = 2) }) { fleet ->
            withContext(Dispatchers.Default) { drive(fleet) }
            val ran = fleet.executionsByKey()
            report(ran)
            reportDisputes(fleet, ran)
            expectThat(ran.filterValues { it > 1 }).isEmpty()
            expectThat(keysTold { it.refusedAs == RunOutcome.NOT_RUN }.filter { it in ran }).isEmpty()
            expectThat(keysTold { it is CallOutcome.Whole || it.refusedAs == RunOutcome.RAN }.filter { it !in ran })
                .isEmpty()
            expectThat(answers.filter { (key, text) -> customers.getValue(key) !in text }).isEmpty()
            expectThat(keysTold { it is CallOutcome.Whole }.size).isGreaterThan(requests / 2)
        }

    private suspend fun drive(fleet: Fleet) = coroutineScope {
        val left = AtomicInteger(requests)
        val chaos = launch { disturb(fleet, Random(seed)) }
        val callers = List(CALLERS) { caller ->
            launch {
                val random = Random(seed + caller + 1)
                while (left.getAndDecrement() > 0) call(fleet, random)
            }
        }
        callers.forEach { it.join() }
        chaos.cancel()
        chaos.join()
        settle(fleet)
    }

    private suspend fun call(fleet: Fleet, random: Random) {
        val customer = "c-${random.nextLong().toULong()}"
        val key = if (random.nextBoolean()) newKey(random = random) else tokenOrNull(fleet, random) ?: return
        customers[key] = customer
        repeat(1 + random.nextInt(SENDINGS)) {
            val outcome = fleet.order(fleet.entries.random(random), key, customer, deadlineMs = DEADLINE_MS)
            if (outcome == null) return@repeat
            told.computeIfAbsent(key) { ConcurrentLinkedQueue() } += outcome
            if (outcome is CallOutcome.Whole) answers[key] = outcome.text
            if (outcome is CallOutcome.Whole && random.nextBoolean()) return
        }
    }

    private suspend fun tokenOrNull(fleet: Fleet, random: Random): String? = try {
        kotlinx.coroutines.withTimeoutOrNull(DEADLINE_MS) { fleet.token(fleet.entries.random(random)) }
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        null
    }

    private suspend fun disturb(fleet: Fleet, random: Random) {
        while (true) {
            delay(random.nextLong(LONGEST_CALM_MS))
            when (random.nextInt(KINDS_OF_FAULT)) {
                0 -> fleet.entries.random(random).restart()
                1 -> pause(fleet, random)
                2 -> cut(fleet, random)
                else -> fleet.endpoints.random(random).behave(behaviour(random))
            }
        }
    }

    private suspend fun pause(fleet: Fleet, random: Random) {
        val process = fleet.entries.random(random).process
        process.pause()
        try {
            delay(random.nextLong(2 * DEADLINE_MS))
        } finally {
            process.resume()
        }
    }

    private suspend fun cut(fleet: Fleet, random: Random) {
        val (one, other) = fleet.spec.zones.shuffled(random)
        if (random.nextBoolean()) fleet.faults.isolate(one) else fleet.faults.cutForward(one, other)
        delay(random.nextLong(2 * DEADLINE_MS))
        fleet.faults.heal()
    }

    private fun behaviour(random: Random) = Behaviour(
        failBefore = random.nextInt(3),
        failAfter = random.nextInt(2),
        loseReply = random.nextInt(2),
        duplicateReply = random.nextInt(2),
        pauseBeforeRunMs = random.nextLong(50),
        pauseAfterRunMs = random.nextLong(50),
    )

    /** Lets what is still on its way arrive: longer than any call may last. */
    private suspend fun settle(fleet: Fleet) {
        fleet.faults.heal()
        fleet.endpoints.forEach { it.behave(Behaviour()) }
        delay(3 * DEADLINE_MS)
    }

    private fun keysTold(match: (CallOutcome) -> Boolean) = told.filterValues { it.any(match) }.keys

    private fun report(ran: Map<String, Int>) {
        val all = told.values.flatten()
        println(
            "seed $seed: ${customers.size} keys, ${all.size} outcomes; whole ${all.count {
                it is CallOutcome.Whole
            }}, " +
                "not-run ${all.count { it.refusedAs == RunOutcome.NOT_RUN }}, " +
                "unknown ${all.count { it.refusedAs == RunOutcome.UNKNOWN }}, " +
                "ran ${all.count { it.refusedAs == RunOutcome.RAN }}, " +
                "unreachable ${all.count { it is CallOutcome.Unreachable }}, " +
                "broken ${all.count { it is CallOutcome.Broken }}; " +
                "keys run ${ran.size}, run twice ${ran.count { it.value > 1 }}",
        )
    }

    /** Everything known of the keys that were told one thing and did another, before the checks below end the test. */
    private fun reportDisputes(fleet: Fleet, ran: Map<String, Int>) {
        val disputed = told.filter { (key, outcomes) ->
            val certain = outcomes.any { it is CallOutcome.Whole || it.refusedAs == RunOutcome.RAN }
            val denied = outcomes.any { it.refusedAs == RunOutcome.NOT_RUN }
            val strange = answers[key]?.let { customers.getValue(key) !in it } == true
            (certain && key !in ran) || (denied && key in ran) || strange
        }
        disputed.forEach { (key, outcomes) -> println("$key of ${customers[key]}, ran ${ran[key]}: $outcomes") }
        if (disputed.isNotEmpty()) {
            println("endpoints: " + fleet.endpoints.map { "${it.spec.id} ${it.process.alive}" })
        }
    }

    private companion object {
        const val CALLERS = 24
        const val SENDINGS = 3
        const val DEADLINE_MS = 700L
        const val LONGEST_CALM_MS = 600L
        const val KINDS_OF_FAULT = 5
    }
}
