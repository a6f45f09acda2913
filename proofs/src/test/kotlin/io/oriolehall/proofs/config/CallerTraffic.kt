package io.oriolehall.proofs.config

import io.oriolehall.cli.client.CallOutcome
import io.oriolehall.harness.fleet.EntryProcess
import io.oriolehall.harness.fleet.Fleet
import io.oriolehall.harness.fleet.newKey
import io.oriolehall.model.PipelineRequest
import io.oriolehall.model.RunOutcome
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

/** One call of the traffic and how it ended. */
internal data class CallRecord(
    val pipeline: String,
    val entry: EntryProcess,
    val key: String?,
    val sentAtMs: Long,
    val outcome: CallOutcome,
) {
    val whole: Boolean get() = outcome is CallOutcome.Whole
    val cutOff: Boolean get() = outcome is CallOutcome.Broken
    val notRun: Boolean get() = outcome is CallOutcome.Refused && outcome.problem.outcome == RunOutcome.NOT_RUN
}

/**
 * Callers behind a balancer: it looks at each instance's readiness a few times a second and sends requests in turn to
 * those that were ready when it last looked. Lookups, summaries and orders alternate.
 */
internal class CallerTraffic(
    private val fleet: Fleet,
    private val scope: CoroutineScope,
    private val entries: List<EntryProcess> = fleet.entries,
    private val callers: Int = 6,
    private val pauseMs: Long = 40,
    private val pipelines: List<String> = listOf("lookup", "order", "lookup", "summary"),
) {
    private val records = ConcurrentLinkedQueue<CallRecord>()
    private val turn = AtomicInteger()
    private val jobs = mutableListOf<Job>()

    @Volatile
    private var ready: List<EntryProcess> = entries

    fun start(): CallerTraffic {
        jobs += scope.launch(Dispatchers.Default) { watchReadiness() }
        repeat(callers) { caller ->
            jobs += scope.launch(Dispatchers.Default) { call(caller) }
        }
        return this
    }

    /** Ends the traffic after the calls under way and returns all calls. */
    suspend fun stop(): List<CallRecord> {
        running = false
        jobs.drop(1).forEach { it.join() }
        jobs.first().cancelAndJoin()
        return records.toList()
    }

    @Volatile
    private var running = true

    private suspend fun watchReadiness() {
        while (scope.isActive) {
            val answers = coroutineScope { entries.map { async { it.ready() } }.awaitAll() }
            ready = entries.filterIndexed { index, _ -> answers[index] }
            delay(READINESS_PERIOD_MS)
        }
    }

    private suspend fun call(caller: Int) {
        var count = caller
        while (running) {
            val pipeline = pipelines[count++ % pipelines.size]
            val targets = ready
            if (targets.isNotEmpty()) send(pipeline, targets[Math.floorMod(turn.getAndIncrement(), targets.size)])
            delay(pauseMs)
        }
    }

    private suspend fun send(pipeline: String, entry: EntryProcess) {
        val sentAtMs = System.currentTimeMillis()
        val key = if (pipeline == "order") newKey() else null
        val request = PipelineRequest(inputOf(pipeline), maxTokens = 20)
        val outcome = fleet.caller("authority", entry).send(pipeline, request, key = key)
        records += CallRecord(pipeline, entry, key, sentAtMs, outcome)
    }

    private fun inputOf(pipeline: String) = when (pipeline) {
        "order" -> """{"operation":"order","item":"furisode","quantity":1,"customer":"c-1"}"""
        else -> "garment history of a furisode with cranes"
    }

    private companion object {
        const val READINESS_PERIOD_MS = 200L
    }
}

/** Share of the calls that were answered whole, 0 to 1. */
internal fun List<CallRecord>.wholeShare(): Double = if (isEmpty()) 1.0 else count { it.whole }.toDouble() / size

internal fun List<CallRecord>.between(fromMs: Long, untilMs: Long) = filter { it.sentAtMs in fromMs until untilMs }

/** Calls by their ending, for the report. */
internal fun List<CallRecord>.summary(): Map<String, Int> = groupingBy { record ->
    when (val outcome = record.outcome) {
        is CallOutcome.Whole -> "${record.pipeline} whole"

        is CallOutcome.Refused -> {
            val kind = outcome.problem.type.substringAfterLast(':')
            "${record.pipeline} $kind ${outcome.problem.outcome}"
        }

        is CallOutcome.Broken -> "${record.pipeline} broken (${outcome.reason})"

        is CallOutcome.Unreachable -> "${record.pipeline} unreachable (${outcome.reason.substringAfter(": ")})"
    }
}.eachCount().toSortedMap()

/** When and why calls were refused, counted from the first call, for the report. */
internal fun List<CallRecord>.refusals(): List<String> {
    val startMs = minOfOrNull(CallRecord::sentAtMs) ?: return emptyList()
    return sortedBy(CallRecord::sentAtMs).mapNotNull { record ->
        val refused = record.outcome as? CallOutcome.Refused ?: return@mapNotNull null
        "${record.sentAtMs - startMs} ms, ${record.entry.spec.id}, ${record.pipeline}: ${refused.problem.detail}"
    }
}
