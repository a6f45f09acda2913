package io.oriolehall.proofs.keys

import io.oriolehall.cli.client.CallOutcome
import io.oriolehall.harness.fleet.EntryProcess
import io.oriolehall.harness.fleet.Fleet
import io.oriolehall.harness.fleet.awaitThat
import io.oriolehall.harness.fleet.newKey
import io.oriolehall.harness.fleet.withFleet
import io.oriolehall.model.RunOutcome
import io.oriolehall.policy.membership.MemberState
import io.oriolehall.standins.endpoint.Behaviour
import io.oriolehall.standins.faultproxy.Fault
import io.oriolehall.standins.faultproxy.FaultMatch
import io.oriolehall.standins.faultproxy.FaultMode
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

/** Keys while instances do not agree on who lives, and when a holder is killed after the endpoint ran. */
class KeyDisagreementTest {
    @Test
    fun `a key runs at most once while an instance and all others hold each other for dead`() =
        withFleet("keys-disagree", { orders(zones = 2, entriesPerZone = 3) }) {
            val alone = it.entries.first()
            val others = it.entries - alone
            it.separate(alone, others)
            repeat(ROUNDS) { _ ->
                for (key in listOf(newKey(), it.token(alone), it.token(others.last()))) {
                    val outcomes = it.orderEverywhere(key)
                    expectThat(it.executions(key)).describedAs("executions").isLessThanOrEqualTo(1)
                    it.expectTruth(outcomes, key)
                }
                expectThat(it.order(alone, it.token(alone))).isA<CallOutcome.Whole>()
                expectThat(it.order(others.last(), it.token(others.last()))).isA<CallOutcome.Whole>()
            }
        }

    @Test
    fun `a key whose holder was killed after the endpoint ran it never runs again`() =
        withFleet("keys-killed-after", { orders(zones = 2, entriesPerZone = 3) }) {
            for (minted in listOf(false, true)) {
                val holder = it.entries.first()
                val key = if (minted) it.token(holder) else newKey()
                it.endpoints.forEach { endpoint -> endpoint.behave(Behaviour(pauseAfterRunMs = 800)) }
                coroutineScope {
                    val first = async { it.order(holder, key) }
                    awaitThat("the endpoint ran it") { it.executions(key) == 1 }
                    holder.process.kill()
                    first.await()
                }
                expectThat(it.order(it.entries[2], key).refusedAs) isEqualTo RunOutcome.UNKNOWN
                holder.restart()
                awaitThat("the replacement is ready") { holder.ready() && holder.status().vouchesForNewKeys }
                for (entry in it.entries) expectThat(it.order(entry, key).refusedAs) isEqualTo RunOutcome.UNKNOWN
                expectThat(it.executions(key)) isEqualTo 1
            }
        }

    /**
     * Cuts [alone] off from the instances [others] only, and waits until each side holds the other for dead. All have
     * to know each other before: an instance that is ready may not have heard of the last one yet, and would never hold
     * dead whom it does not know.
     */
    private suspend fun Fleet.separate(alone: EntryProcess, others: List<EntryProcess>) {
        awaitThat("it knows the others, and they know it") {
            others.all { alone.sees(it) == MemberState.ALIVE && it.sees(alone) == MemberState.ALIVE }
        }
        println("known to it before the cut: " + alone.describePeers())
        for (other in others) {
            faults.add(Fault(link(alone, other), FaultMode.CUT))
            faults.add(Fault(link(other, alone), FaultMode.CUT))
        }
        awaitThat("the others hold it for dead") { others.all { it.sees(alone) == MemberState.DEAD } }
        try {
            awaitThat("it holds the others for dead") { others.all { alone.sees(it) == MemberState.DEAD } }
        } finally {
            println("known to it after the cut: " + alone.describePeers())
        }
    }

    private suspend fun EntryProcess.describePeers(): String =
        status().peers.joinToString { "${it.id} ${it.state}, heard ${it.heardMs} ms ago" }

    private fun link(from: EntryProcess, to: EntryProcess) =
        FaultMatch(sourceId = from.spec.id.value, targetId = to.spec.id.value)

    private suspend fun EntryProcess.sees(other: EntryProcess): MemberState? =
        status().peers.find { it.id == other.spec.id }?.state

    private suspend fun Fleet.orderEverywhere(key: String): List<CallOutcome?> = coroutineScope {
        entries.map { entry -> async { order(entry, key) } }.awaitAll()
    }

    private suspend fun Fleet.expectTruth(outcomes: List<CallOutcome?>, key: String) {
        val whole = outcomes.filterIsInstance<CallOutcome.Whole>()
        expectThat(whole.map { it.text }.distinct().size).describedAs("different answers").isLessThanOrEqualTo(1)
        val ran = executions(key)
        if (whole.isNotEmpty()) expectThat(ran).describedAs("executions of an answered key").isEqualTo(1)
        if (outcomes.any { it.refusedAs == RunOutcome.NOT_RUN }) {
            expectThat(ran).describedAs("executions of a key that a caller was told did not run").isEqualTo(0)
        }
    }

    private companion object {
        const val ROUNDS = 5
    }
}
