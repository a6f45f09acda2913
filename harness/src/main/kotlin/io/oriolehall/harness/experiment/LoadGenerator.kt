package io.oriolehall.harness.experiment

import io.oriolehall.cli.client.CallOutcome
import io.oriolehall.harness.fleet.Fleet
import io.oriolehall.model.PipelineRequest
import io.oriolehall.model.RunOutcome
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.HdrHistogram.ConcurrentHistogram
import java.lang.management.ManagementFactory
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicIntegerArray
import kotlin.random.Random

/**
 * Sends requests when they are due, whatever became of the earlier ones. Times are counted from when a request was due,
 * so that a slow system cannot hide its queue from the measurement (coordinated omission).
 */
internal class LoadGenerator(private val fleet: Fleet, private val scenario: Scenario, private val seed: Long) {
    private val lastAnswerMs = scenario.durationMs + scenario.loads.maxOf { it.deadlineMs }
    private val perSecond = AtomicIntegerArray((lastAnswerMs / MS_PER_SECOND + 1).toInt())
    private val inWindow = AtomicInteger()
    private val watch = EndpointWatch(fleet)
    private val startedNs = System.nanoTime()

    suspend fun run(variant: PolicyVariant): RunResult {
        val tallies = scenario.loads.map(::Tally)
        coroutineScope {
            val faults = scenario.faults.map { fault -> launch(Dispatchers.IO) { cause(fault) } }
            val loads = tallies.mapIndexed { index, tally ->
                launch { send(tally, Random(seed * SEED_STRIDE + index)) }
            }
            loads.joinAll()
            faults.forEach { it.cancel() }
        }
        return RunResult(
            scenario = scenario.name,
            variant = variant.name,
            settings = variant.policy,
            seed = seed,
            loadAverage = ManagementFactory.getOperatingSystemMXBean().systemLoadAverage,
            organisations = tallies.map(Tally::result),
            endpoints = watch.results(),
            costs = StageCost.of(fleet.entries.filter { it.process.alive }.map { it.operators("/metrics") }),
            goodput = inWindow.get() / (scenario.capacity * scenario.window.lengthSeconds()),
            inTimePerSecond = List(perSecond.length(), perSecond::get),
        )
    }

    private fun LongRange.lengthSeconds() = (last - first).toDouble() / MS_PER_SECOND

    /** Causes [fault], which may block until a process has started. */
    private suspend fun cause(fault: ScriptedFault) {
        delay(fault.atMs - sinceStartMs())
        fault.cold.forEach { watch.keep(fleet.endpoint(it)) }
        fault.cause(fleet)
        watch.awaitFullUse(fault.cold)
    }

    private suspend fun send(tally: Tally, random: Random) = coroutineScope {
        val arrivals = tally.load.profile.arrivals(scenario.durationMs, random)
        for ((n, dueMs) in arrivals.withIndex()) {
            delay(dueMs - sinceStartMs())
            val entry = fleet.entries[random.nextInt(fleet.entries.size)]
            val input = tally.load.input(n, random)
            launch {
                val outcome = withTimeoutOrNull(tally.load.deadlineMs * PATIENCE) {
                    val request = PipelineRequest(input, tally.load.maxTokens)
                    fleet.caller(tally.load.organisation, entry)
                        .send(tally.load.pipeline, request, deadlineMs = tally.load.deadlineMs)
                }
                tally.add(outcome, dueMs, sinceStartMs() - dueMs)
            }
        }
    }

    private fun sinceStartMs() = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNs)

    private inner class Tally(val load: OrganisationLoad) {
        private val answered = ConcurrentHistogram(DIGITS)
        private val refusedTimes = ConcurrentHistogram(DIGITS)
        private val sent = AtomicInteger()
        private val inTime = AtomicInteger()
        private val late = AtomicInteger()
        private val notRun = AtomicInteger()
        private val refused = AtomicInteger()
        private val broken = AtomicInteger()
        private val refusals = ConcurrentHashMap<String, Int>()

        fun add(outcome: CallOutcome?, dueMs: Long, tookMs: Long) {
            sent.incrementAndGet()
            when (outcome) {
                is CallOutcome.Whole -> addAnswer(dueMs, tookMs)
                is CallOutcome.Refused -> addRefusal(outcome, tookMs)
                else -> broken.incrementAndGet()
            }
        }

        private fun addAnswer(dueMs: Long, tookMs: Long) {
            answered.recordValue(tookMs)
            if (tookMs <= load.deadlineMs) {
                inTime.incrementAndGet()
                val answeredMs = dueMs + tookMs
                perSecond.incrementAndGet((answeredMs / MS_PER_SECOND).toInt())
                if (answeredMs in scenario.window) inWindow.incrementAndGet()
            } else {
                late.incrementAndGet()
            }
        }

        private fun addRefusal(refusal: CallOutcome.Refused, tookMs: Long) {
            refusedTimes.recordValue(tookMs)
            refusals.merge(refusal.problem.type.substringAfterLast(':'), 1, Int::plus)
            val counter = if (refusal.problem.outcome == RunOutcome.NOT_RUN) notRun else refused
            counter.incrementAndGet()
        }

        fun result() = OrganisationResult(
            organisation = load.organisation,
            sent = sent.get(),
            inTime = inTime.get(),
            late = late.get(),
            notRun = notRun.get(),
            refused = refused.get(),
            broken = broken.get(),
            p50Ms = answered.getValueAtPercentile(MEDIAN),
            p95Ms = answered.getValueAtPercentile(P95),
            p99Ms = answered.getValueAtPercentile(P99),
            refusalP95Ms = refusedTimes.getValueAtPercentile(P95),
            refusals = refusals.toSortedMap(),
        )
    }

    private companion object {
        const val MS_PER_SECOND = 1_000L
        const val SEED_STRIDE = 1_000L

        /** Callers wait this many times their deadline before they give up. */
        const val PATIENCE = 3
        const val DIGITS = 3
        const val MEDIAN = 50.0
        const val P95 = 95.0
        const val P99 = 99.0
    }
}
