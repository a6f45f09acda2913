package io.oriolehall.harness.benchmark

import io.oriolehall.entry.stages.EndpointClient
import io.oriolehall.harness.fleet.Fleet
import kotlinx.coroutines.delay
import java.util.concurrent.TimeUnit

/** Measures one load on a running fleet: both ways warm up and then take turns. */
internal class OverheadLevel(
    fleet: Fleet,
    client: EndpointClient,
    private val warmUpSeconds: Int,
    private val seconds: Int,
    private val rounds: Int,
) {
    private val entryProcess = fleet.entries.single()
    private val pipeline = fleet.pipeline(PIPELINE)
    private val meter = ProcessMeter(entryProcess.process.pid)
    private val throughEntry =
        EntryCaller(fleet.caller(ORGANISATION, entryProcess), pipeline, TOKENS, DEADLINE_MS)
    private val directly =
        DirectCaller(client, pipeline, fleet.endpoints.map { it.published }, TOKENS, DEADLINE_MS)

    /** Sends [requestsPerSecond] each way. */
    suspend fun measure(requestsPerSecond: Double): LoadLevelResult {
        val driver = LoadDriver(requestsPerSecond)
        val direct = LoadResult()
        val entry = LoadResult()
        driver.run(directly, warmUpSeconds, LoadResult())
        driver.run(throughEntry, warmUpSeconds, LoadResult())
        val idleShare = coreShareWhile { delay(IDLE_MS) }
        var processorMs = 0.0
        repeat(rounds) {
            driver.run(directly, seconds, direct)
            val before = meter.processorMs()
            driver.run(throughEntry, seconds, entry)
            processorMs += meter.processorMs() - before
        }
        return resultOf(requestsPerSecond, WayResult.of(direct), WayResult.of(entry), processorMs, idleShare)
    }

    private suspend fun coreShareWhile(run: suspend () -> Unit): Double {
        val began = System.nanoTime()
        val before = meter.processorMs()
        run()
        return (meter.processorMs() - before) * TimeUnit.MILLISECONDS.toNanos(1) / (System.nanoTime() - began)
    }

    private fun resultOf(
        requestsPerSecond: Double,
        direct: WayResult,
        entry: WayResult,
        processorMs: Double,
        idleShare: Double,
    ): LoadLevelResult {
        val perRequestMs = processorMs / (entry.whole + entry.failed)
        return LoadLevelResult(
            requestsPerSecond = requestsPerSecond,
            tokensPerSecond = requestsPerSecond * TOKENS,
            direct = direct,
            entry = entry,
            addedFirstToken = entry.firstToken - direct.firstToken,
            addedTokenSpacing = entry.tokenSpacing - direct.tokenSpacing,
            entryProcessorMsPerRequest = rounded(perRequestMs),
            entryCoreShare = rounded(perRequestMs * requestsPerSecond / MS_PER_SECOND),
            entryIdleCoreShare = rounded(idleShare),
            entryResidentMb = rounded(meter.residentMb()),
        )
    }

    companion object {
        const val ORGANISATION = "authority"
        const val PIPELINE = "summary"
        private const val TOKENS = 203
        private const val DEADLINE_MS = 20_000L
        private const val IDLE_MS = 3_000L
        private const val MS_PER_SECOND = 1_000.0
    }
}
