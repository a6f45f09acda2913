package io.oriolehall.harness.experiment

import io.oriolehall.cli.client.CallOutcome
import io.oriolehall.harness.fleet.Fleet
import io.oriolehall.model.PipelineRequest
import io.oriolehall.model.RunOutcome
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.HdrHistogram.ConcurrentHistogram
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
    private val perSecond = AtomicIntegerArray((scenario.durationMs / MS_PER_SECOND + 1).toInt())
    private val startedNs = System.nanoTime()

    suspend fun run(variant: String): RunResult {
        val tallies = scenario.loads.map(::Tally)
        coroutineScope {
            scenario.faults.forEach { fault -> launch { cause(fault) } }
            for ((index, tally) in tallies.withIndex()) launch { send(tally, Random(seed * SEED_STRIDE + index)) }
        }
        return RunResult(
            scenario = scenario.name,
            variant = variant,
            seed = seed,
            organisations = tallies.map(Tally::result),
            endpoints = fleet.endpoints.map { readStats(it) },
            inTimePerSecond = List(perSecond.length(), perSecond::get),
        )
    }

    private suspend fun cause(fault: ScriptedFault) {
        delay(fault.atMs - sinceStartMs())
        fault.cause(fleet)
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

    private suspend fun readStats(endpoint: io.oriolehall.harness.fleet.EndpointProcess): EndpointResult {
        if (!endpoint.process.alive) return EndpointResult(endpoint.spec.id.value, alive = false)
        val stats = endpoint.stats()
        return EndpointResult(
            endpoint = stats.id,
            alive = true,
            overloads = stats.overloads,
            declined = stats.declined,
            maxConcurrency = stats.maxConcurrency,
            wastedMs = stats.wastedMs,
            calls = stats.stageCalls.values.sum(),
        )
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
                perSecond.incrementAndGet((dueMs / MS_PER_SECOND).toInt())
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
