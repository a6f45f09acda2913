package io.oriolehall.proofs.keys

import io.oriolehall.cli.client.CallOutcome
import io.oriolehall.harness.fleet.EntryProcess
import io.oriolehall.harness.fleet.FaultControl
import io.oriolehall.harness.fleet.Fleet
import io.oriolehall.harness.fleet.awaitThat
import io.oriolehall.harness.fleet.fleetSpec
import io.oriolehall.harness.fleet.newKey
import io.oriolehall.harness.process.MachineLock
import io.oriolehall.model.RunOutcome
import io.oriolehall.model.ZoneId
import io.oriolehall.standins.endpoint.Behaviour
import io.oriolehall.standins.faultproxy.Fault
import io.oriolehall.standins.faultproxy.FaultMatch
import io.oriolehall.standins.faultproxy.FaultMode
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import strikt.assertions.isNotEqualTo

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class KeyFailureTest {
    private val slow = Behaviour(pauseBeforeRunMs = 400)
    private val lock = MachineLock.take()
    private val fleet =
        runBlocking { Fleet.start(fleetSpec("keys-failures") { orders(zones = 2, entriesPerZone = 3) }) }

    @AfterEach
    fun `put the fleet right`() = runBlocking {
        fleet.faults.heal()
        fleet.behaveAll(Behaviour())
        for (entry in fleet.entries) {
            if (!entry.process.alive) entry.restart()
            awaitThat("${entry.spec.id} is ready") { entry.ready() && entry.status().vouchesForNewKeys }
            awaitThat("${entry.spec.id} has credits") { fleet.order(entry, newKey()) is CallOutcome.Whole }
        }
    }

    @AfterAll
    fun `end the fleet`() {
        fleet.close()
        lock.close()
    }

    @Test
    fun `one key through all instances at once runs once and all callers get its answer`() = onFleet {
        repeat(10) { round ->
            for (key in listOf(newKey(), it.token(it.entries[round % it.entries.size]))) {
                val outcomes = coroutineScope { it.entries.map { entry -> async { it.order(entry, key) } }.awaitAll() }
                expectThat(it.executions(key)) isEqualTo 1
                expectThat(outcomes).all { isA<CallOutcome.Whole>() }
                expectThat(outcomes.map { outcome -> (outcome as CallOutcome.Whole).text }.distinct().size) isEqualTo 1
            }
        }
    }

    @Test
    fun `a key whose holder was killed after it forwarded never runs again`() = onFleet {
        for (minted in listOf(false, true)) {
            val key = if (minted) it.token(it.entries[0]) else newKey()
            it.behaveAll(slow)
            val before = it.callsReceived()
            coroutineScope {
                val first = async { it.order(it.entries[0], key) }
                awaitThat("the endpoint has the call") { it.callsReceived() > before }
                it.entries[0].process.kill()
                first.await()
            }
            expectThat(it.order(it.entries[2], key).refusedAs) isEqualTo RunOutcome.UNKNOWN
            it.entries[0].restart()
            awaitThat("the replacement is ready") { it.entries[0].ready() }
            expectThat(it.order(it.entries[0], key).refusedAs) isEqualTo RunOutcome.UNKNOWN
            expectThat(it.order(it.entries[2], key).refusedAs) isEqualTo RunOutcome.UNKNOWN
            awaitThat("the stage ran") { it.executions(key) > 0 }
            expectThat(it.executions(key)) isEqualTo 1
        }
    }

    @Test
    fun `a key whose holder was killed before it forwarded never runs and nobody is told that it may be sent anew`() =
        onFleet {
            for (minted in listOf(false, true)) {
                val holder = it.entries[0]
                val key = if (minted) it.token(holder) else newKey()
                it.faults.cutFromEndpoints(holder)
                coroutineScope {
                    val first = async { it.order(holder, key) }
                    awaitThat("the holder has the request") { holder.status().unfinishedRequests > 0 }
                    holder.process.kill()
                    first.await()
                }
                it.faults.heal()
                expectThat(it.order(it.entries[2], key).refusedAs) isEqualTo RunOutcome.UNKNOWN
                holder.restart()
                awaitThat("the replacement is ready") { holder.ready() }
                for (entry in it.entries) expectThat(it.order(entry, key).refusedAs) isEqualTo RunOutcome.UNKNOWN
                expectThat(it.executions(key)) isEqualTo 0
            }
        }

    @Test
    fun `a key whose holder was killed while its answer streamed ran once and is never said not to have run`() =
        onFleet {
            for (minted in listOf(false, true)) {
                val holder = it.entries[0]
                val key = if (minted) it.token(holder) else newKey()
                val text = CompletableDeferred<Unit>()
                val told = coroutineScope {
                    val first = async {
                        it.order(holder, key, deadlineMs = 4_000, pipeline = WRITTEN_ORDER) { text.complete(Unit) }
                    }
                    text.await()
                    holder.process.kill()
                    first.await()
                }
                expectThat(told).isA<CallOutcome.Broken>()
                val again = it.order(it.entries[2], key, deadlineMs = 4_000, pipeline = WRITTEN_ORDER)
                expectThat(again.refusedAs) isEqualTo RunOutcome.UNKNOWN
                holder.restart()
                awaitThat("the replacement is ready") { holder.ready() }
                for (entry in it.entries) {
                    val late = it.order(entry, key, deadlineMs = 4_000, pipeline = WRITTEN_ORDER)
                    expectThat(late.refusedAs) isEqualTo RunOutcome.UNKNOWN
                }
                expectThat(it.executions(key)) isEqualTo 1
            }
        }

    @Test
    fun `a key whose holder is paused past the deadline runs once when it wakes`() = onFleet {
        for (round in 1..5) {
            for (key in listOf(newKey(), it.token(it.entries[0]))) {
                val resent = coroutineScope {
                    val first = async { it.order(it.entries[0], key, deadlineMs = 600) }
                    delay(round * STEP_MS)
                    it.entries[0].process.pause()
                    val again = it.order(it.entries[3], key, deadlineMs = 900)
                    it.entries[0].process.resume()
                    first.await()
                    again
                }
                awaitThat("the holder is awake") { it.entries[0].ready() }
                val last = it.order(it.entries[3], key)
                val ran = it.executions(key)
                expectThat(ran).isIn(0..1)
                for (told in listOf(resent, last)) {
                    if (told.refusedAs == RunOutcome.NOT_RUN) expectThat(ran) isEqualTo 0
                }
            }
        }
    }

    @Test
    fun `a key held in a zone that is cut off is not run elsewhere and answers after the cut`() = onFleet {
        val z1 = ZoneId("z1")
        val cuts: List<suspend () -> Unit> = listOf(
            { it.faults.isolate(z1) },
            { it.faults.cutForward(z1, ZoneId("z2")) },
            { it.faults.cutForward(ZoneId("z2"), z1) },
        )
        for (cut in cuts) {
            for (key in listOf(newKey(), it.token(it.entries[0]))) {
                expectThat(it.order(it.entries[0], key)).isA<CallOutcome.Whole>()
                cut()
                expectThat(it.order(it.entries[2], key).refusedAs).isNotEqualTo(RunOutcome.NOT_RUN)
                it.faults.heal()
                awaitThat("the holder can be asked again") { it.order(it.entries[2], key) is CallOutcome.Whole }
                expectThat(it.executions(key)) isEqualTo 1
            }
        }
    }

    @Test
    fun `a call whose fate is not known is never made again and one that was declined is`() = onFleet {
        val lost = newKey()
        it.behaveAll(Behaviour(loseReply = 1))
        expectThat(it.order(it.entries[0], lost).refusedAs) isEqualTo RunOutcome.UNKNOWN
        expectThat(it.order(it.entries[2], lost).refusedAs) isEqualTo RunOutcome.UNKNOWN
        expectThat(it.executions(lost)) isEqualTo 1

        val failed = newKey()
        it.behaveAll(Behaviour(failAfter = 1))
        expectThat(it.order(it.entries[0], failed).refusedAs) isEqualTo RunOutcome.UNKNOWN
        expectThat(it.executions(failed)) isEqualTo 1

        val declined = newKey()
        it.behaveAll(Behaviour())
        it.endpoint("stock-1").behave(Behaviour(failBefore = 1))
        expectThat(it.order(it.entries[0], declined)).isA<CallOutcome.Whole>()
        expectThat(it.executions(declined)) isEqualTo 1

        val closed = newKey()
        it.behaveAll(Behaviour(failBefore = 5))
        expectThat(it.order(it.entries[0], closed).refusedAs) isEqualTo RunOutcome.NOT_RUN
        it.behaveAll(Behaviour())
        expectThat(it.order(it.entries[2], closed).problemType) isEqualTo "key-closed"
        expectThat(it.executions(closed)) isEqualTo 0
    }

    @Test
    fun `a key that is not the caller's own or not whole is refused and runs nothing`() = onFleet {
        for (key in listOf(newKey(), it.token(it.entries[0]))) {
            expectThat(it.order(it.entries[0], key)).isA<CallOutcome.Whole>()
            for (entry in it.entries) {
                expectThat(it.order(entry, key, customer = "c-2").problemType) isEqualTo "key-reused"
                val foreign = it.order(entry, key, organisation = OTHER_SHOP).problemType
                expectThat(setOf<String?>("key-reused", "bad-key")).contains(foreign)
            }
            expectThat(it.executions(key)) isEqualTo 1
        }
        val forged = it.token(it.entries[0]).dropLast(1) + "!"
        for (bad in listOf(forged, "x".repeat(5_000), "order-17", "9f4e1c9e-31a5-4f5e-8f4b-2a1d3c4b5a69")) {
            expectThat(it.order(it.entries[1], bad).problemType) isEqualTo "bad-key"
            expectThat(it.executions(bad)) isEqualTo 0
        }
        for (skewMs in listOf(-3_600_000L, -700_000L, 20_000L)) {
            val skewed = newKey(System.currentTimeMillis() + skewMs)
            for (entry in it.entries) expectThat(it.order(entry, skewed).refusedAs) isEqualTo RunOutcome.UNKNOWN
            expectThat(it.executions(skewed)) isEqualTo 0
        }
        for (skewMs in listOf(-20_000L, -1_000L, 100L)) {
            val skewed = newKey(System.currentTimeMillis() + skewMs)
            val outcomes = it.entries.map { entry -> it.order(entry, skewed) }
            expectThat(it.executions(skewed)).isIn(0..1)
            if (outcomes.any { outcome -> outcome is CallOutcome.Whole }) expectThat(it.executions(skewed)) isEqualTo 1
        }
    }

    /** Lets nothing pass between [entry] and the endpoints; other instances can be reached. */
    private suspend fun FaultControl.cutFromEndpoints(entry: EntryProcess) = fleet.endpoints.forEach {
        add(Fault(FaultMatch(sourceId = entry.spec.id.value, targetId = it.spec.id.value), FaultMode.CUT))
    }

    private suspend fun Fleet.behaveAll(behaviour: Behaviour) = endpoints.forEach { it.behave(behaviour) }

    private companion object {
        /** Difference between the moments at which the holder is paused, milliseconds. */
        const val STEP_MS = 2L
    }

    private suspend fun Fleet.callsReceived() = endpoints.sumOf { it.stats().stageCalls.values.sum() }

    private fun onFleet(test: suspend (Fleet) -> Unit) = runBlocking { test(fleet) }
}
