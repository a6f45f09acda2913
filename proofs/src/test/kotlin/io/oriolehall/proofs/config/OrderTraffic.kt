package io.oriolehall.proofs.config

import io.oriolehall.cli.client.CallOutcome
import io.oriolehall.harness.fleet.Fleet
import io.oriolehall.harness.fleet.newKey
import io.oriolehall.model.RunOutcome
import io.oriolehall.proofs.keys.order
import io.oriolehall.proofs.keys.refusedAs
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/** Callers who place orders at any instance, ready or not, and now and then send one again through another. */
internal class OrderTraffic(private val fleet: Fleet, private val seed: Long) {
    private val notRun = ConcurrentHashMap.newKeySet<String>()
    private val outcomes = ConcurrentHashMap<String, AtomicInteger>()

    @Volatile
    private var running = true

    /** Orders that were answered whole. */
    val whole: Int get() = outcomes[WHOLE]?.get() ?: 0

    /** Keys of which a caller was told that they did not run. */
    fun toldNotRun(): Set<String> = notRun.toSet()

    fun summary(): Map<String, Int> = outcomes.mapValues { it.value.get() }.toSortedMap()

    fun stop() {
        running = false
    }

    /** Sends until [stop] and returns when every call has ended. */
    suspend fun run() = coroutineScope {
        repeat(CALLERS) { caller -> launch { callOn(Random(seed + caller + 1)) } }
    }

    private suspend fun callOn(random: Random) {
        while (running) {
            val key = newKey(random = random)
            repeat(1 + random.nextInt(SENDINGS)) { send(key, random) }
            delay(random.nextLong(LONGEST_PAUSE_MS))
        }
    }

    private suspend fun send(key: String, random: Random) {
        val outcome = fleet.order(fleet.entries.random(random), key, deadlineMs = DEADLINE_MS)
        if (outcome.refusedAs == RunOutcome.NOT_RUN) notRun += key
        outcomes.computeIfAbsent(nameOf(outcome)) { AtomicInteger() }.incrementAndGet()
    }

    private fun nameOf(outcome: CallOutcome?): String = when (outcome) {
        null -> "gave up waiting"
        is CallOutcome.Whole -> WHOLE
        is CallOutcome.Refused -> "refused, ${outcome.problem.outcome}"
        is CallOutcome.Broken -> "broken"
        is CallOutcome.Unreachable -> "unreachable"
    }

    private companion object {
        const val CALLERS = 14
        const val SENDINGS = 2
        const val DEADLINE_MS = 700L
        const val LONGEST_PAUSE_MS = 80L
        const val WHOLE = "whole"
    }
}
