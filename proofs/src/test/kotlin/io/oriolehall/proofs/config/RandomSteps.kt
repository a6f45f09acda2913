package io.oriolehall.proofs.config

import io.oriolehall.harness.fleet.EntryProcess
import io.oriolehall.harness.fleet.Fleet
import io.oriolehall.harness.fleet.awaitThat
import io.oriolehall.model.ServiceState
import io.oriolehall.model.StrictJson
import io.oriolehall.model.Ticket
import io.oriolehall.model.ZoneId
import io.oriolehall.standins.platform.PlatformState
import kotlinx.coroutines.delay
import strikt.api.expectThat
import strikt.assertions.isGreaterThanOrEqualTo
import kotlin.random.Random

/**
 * Steps of a randomised run. Each step begins one or two faults, lets operators issue tickets, waits until every
 * instance that no fault keeps from it has the newest one, ends the faults and waits until all instances agree.
 */
internal class RandomSteps(private val fleet: Fleet, private val random: Random) {
    private enum class Fault { KILL, PAUSE, CUT, PLATFORM_STALE, PLATFORM_DOWN, ONE_READER }

    private val times = mutableListOf<Long>()
    private val kinds = mutableMapOf<String, Int>()
    private var number = 100L
    private var out: ZoneId? = null

    /** Newest ticket that was in force everywhere. */
    private var settled = 1L
    private var paused = emptyList<EntryProcess>()
    private var killed = emptyList<EntryProcess>()
    private var cutOff: ZoneId? = null

    var steps = 0
        private set

    /** The step that ran last, for messages. */
    var lastStep = "the start"
        private set

    fun summary() = "$steps steps $kinds, slowest convergence ${times.max()} ms, mean ${times.average().toLong()} ms"

    /** Runs one step; fails when instances do not converge in time or one is ready with an older state. */
    suspend fun step() {
        val faults = Fault.entries.shuffled(random).take(1 + random.nextInt(2)).sorted()
        steps++
        lastStep = "step $steps $faults, out $out"
        faults.forEach { kinds.merge(it.name.lowercase(), 1, Int::plus) }
        val stale = Fault.PLATFORM_STALE in faults
        if (stale) fleet.platform.showUntil(revision = 1)
        faults.forEach { begin(it) }
        val free = fleet.entries - paused.toSet() - killed.toSet() - fleet.entriesOf(cutOff?.value.orEmpty()).toSet()
        if (Fault.ONE_READER in faults) fleet.cutPlatformForAllBut(free.random(random))
        if (!stale) issue()
        if (Fault.PLATFORM_DOWN in faults) {
            awaitThat("one instance has ticket $number, $lastStep", LIMIT_MS) { free.any { it.knows(number) } }
            fleet.platform.setMode(PlatformState.DOWN)
        }
        if (!stale) converge(free)
        killed.forEach { restart(it) }
        delay(random.nextLong(LONGEST_FAULT_MS))
        end()
        if (stale) issue()
        converge(fleet.entries)
        settled = number
    }

    private suspend fun begin(fault: Fault) {
        when (fault) {
            Fault.KILL -> killed = fleet.entries.shuffled(random).take(1 + random.nextInt(MOST_KILLED)).onEach {
                it.process.kill()
            }

            Fault.PAUSE -> paused = listOf((fleet.entries - killed.toSet()).random(random)).onEach {
                it.process.pause()
            }

            Fault.CUT -> cutOff = fleet.spec.zones.random(random).also { fleet.faults.isolate(it) }

            else -> Unit
        }
    }

    private suspend fun end() {
        fleet.faults.heal()
        fleet.platform.setMode(PlatformState.UP)
        paused.forEach { it.process.resume() }
        paused = emptyList()
        killed = emptyList()
        cutOff = null
    }

    /** A process that is ready has everything that was in force everywhere before it was killed. */
    private suspend fun restart(entry: EntryProcess) {
        entry.restart()
        if (entry.spec.zone == cutOff) return
        awaitThat("${entry.spec.id} is ready again, $lastStep") { entry.ready() }
        expectThat(entry.status().highestTicket).describedAs("ticket at ${entry.spec.id}, $lastStep")
            .isGreaterThanOrEqualTo(settled)
    }

    /** One operator takes a zone out or brings it back, or two do so at once: in turn, backwards or by one number. */
    private suspend fun issue() {
        val zone = out ?: fleet.spec.zones.random(random)
        val next = if (out == null) ServiceState.OUT else ServiceState.IN_SERVICE
        val other = if (out == null) ServiceState.IN_SERVICE else ServiceState.OUT
        when (random.nextInt(KINDS_OF_ISSUE)) {
            0 -> publish(++number, zone, next, "ana")

            1 -> {
                publish(number + 2, zone, next, "ana")
                publish(number + 1, zone, other, "ion")
                number += 2
            }

            else -> {
                publish(++number, zone, next, "ana")
                publish(number, zone, other, "ion")
            }
        }
        out = if (out == null) zone else null
    }

    private suspend fun publish(number: Long, zone: ZoneId, state: ServiceState, author: String) {
        val ticket = Ticket(number, author, "randomised run", listOf(zoneState(zone.value, state)))
        fleet.tickets.publishText(StrictJson.encodeToString(Ticket.serializer(), ticket))
    }

    private suspend fun converge(entries: List<EntryProcess>) {
        val startMs = nowMs()
        awaitThat("${entries.map { it.spec.id }} have ticket $number and agree, $lastStep", LIMIT_MS) {
            val statuses = entries.map { it.statusOrNull() }
            statuses.all { it != null && it.highestTicket >= number } &&
                statuses.distinctBy { it?.configDigest }.size <= 1
        }
        times += nowMs() - startMs
    }

    private suspend fun EntryProcess.knows(number: Long) = (statusOrNull()?.highestTicket ?: 0) >= number

    private fun nowMs() = System.nanoTime() / 1_000_000

    private companion object {
        /** Time within which a change is in force on every reachable instance, milliseconds. */
        const val LIMIT_MS = 12_000L
        const val LONGEST_FAULT_MS = 3_000L
        const val MOST_KILLED = 2
        const val KINDS_OF_ISSUE = 3
    }
}
