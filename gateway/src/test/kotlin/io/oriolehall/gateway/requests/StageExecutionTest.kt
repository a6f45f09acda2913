package io.oriolehall.gateway.requests

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.oriolehall.dispatch.admission.StageTimeEstimates
import io.oriolehall.dispatch.config.CallerLimits
import io.oriolehall.dispatch.config.PieceLimits
import io.oriolehall.dispatch.config.Route
import io.oriolehall.dispatch.config.RouteKind
import io.oriolehall.dispatch.config.RouteTable
import io.oriolehall.dispatch.config.RouteTarget
import io.oriolehall.dispatch.config.Service
import io.oriolehall.dispatch.config.ServingConfig
import io.oriolehall.dispatch.config.StageSpec
import io.oriolehall.gateway.TrafficLoop
import io.oriolehall.gateway.http.CallerRequest
import io.oriolehall.gateway.path.GatewayUnderTest
import io.oriolehall.gateway.stages.PieceCountCodec
import io.oriolehall.gateway.stages.StageAnswer
import io.oriolehall.gateway.stages.StageFailure
import io.oriolehall.gateway.stages.StageRequest
import io.oriolehall.gateway.stages.StageResult
import io.oriolehall.gateway.stages.StageRunner
import io.oriolehall.gateway.wire.WireProtocol
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.ZoneId
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.containsExactly
import strikt.assertions.doesNotContain
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

/** Stages that need the same results, which are lost with their worker while some stages run and others wait. */
class StageExecutionTest {
    private val wire = WireProtocol(GatewayUnderTest.HEADERS, PieceCountCodec, "Bearer", "/ready")
    private val limits =
        PieceLimits(1, batch = 10, 240.0, 10.0, resultMemoryBytes = 1_000_000, resultLifetimeMs = 4_000)

    /** Computes each stage as [script] says, which gets the number of the stage's run; null stands for success. */
    private class ScriptedRunner(private val script: suspend (stage: Int, run: Int) -> StageFailure?) : StageRunner {
        override val timeEstimates = StageTimeEstimates()
        val requests = mutableListOf<StageRequest>()
        val released = mutableListOf<String>()

        fun runsOf(stage: Int) = requests.filter { it.stage == stage }

        override suspend fun run(request: StageRequest, onInputsFetched: () -> Unit): StageAnswer {
            requests += request
            val run = runsOf(request.stage).size
            script(request.stage, run)?.let { return StageAnswer(failure = it) }
            val address = NetworkAddress("10.0.0.1", 1)
            return StageAnswer(
                List(request.pieces) { StageResult("${request.stage}.$run.$it", address, ZoneId("z")) },
            )
        }

        override fun release(service: String, results: List<StageResult>) {
            released += results.map(StageResult::handle)
        }
    }

    private fun execution(runner: StageRunner, after: List<List<Int>>, counts: List<Int>): StageExecution {
        val stages = after.map { StageSpec("s", it, resultBytes = 10) }
        val route = Route("r", "h", "/", RouteKind.STREAMING, 30_000, 20_000, 0, listOf(RouteTarget("m", 1)), 2, stages)
        val services = listOf(
            Service("s", "/", maxConnections = 0, coldPerSecond = 0.0, pieces = limits),
            Service("m", "/", maxConnections = 0, coldPerSecond = 0.0),
        )
        val table = RouteTable(ServingConfig(1, listOf(route), services, CallerLimits(), emptyList()))
        val nowMs = TrafficLoop.nowMs()
        val context = RequestContext(
            request = CallerRequest("POST", "/x", DefaultHttpHeaders(), ByteArray(0), nowMs),
            attemptId = "a",
            plan = table.plan(route),
            service = "m",
            organisation = null,
            deadlineAtMs = nowMs + 30_000,
            objectiveAtMs = nowMs + 20_000,
            sharedPromptParts = emptyList(),
        )
        return StageExecution(context, counts, runner, wire, serviceZone = null)
    }

    private fun StageExecution.runToEnd(): Boolean = runBlocking { withTimeout(TIMEOUT_MS) { run() } }

    /**
     * Guards against review case 6: a stage that began while another one had their common input computed again was sent
     * with the other inputs only, and the answer went out as a success.
     */
    @Test
    fun `a stage that begins while an input is computed again gets all inputs`() {
        val queryLost = CompletableDeferred<Unit>()
        val runner = ScriptedRunner { stage, run ->
            when {
                stage == IMAGES && run == 1 -> null.also { queryLost.await() }
                stage == QUERY && run == 2 -> null.also { queryLost.complete(Unit) }.also { delay(PAUSE_MS) }
                stage == RANK_TEXTS && run == 1 -> StageFailure.INPUT_GONE
                else -> null
            }
        }
        val execution = execution(runner, RANKINGS, RANKING_COUNTS)
        expectThat(execution.runToEnd()).isTrue()
        expectThat(runner.runsOf(RANK_IMAGES).map { it.inputs }).all { hasSize(4) }
        expectThat(runner.runsOf(RANK_TEXTS).map { it.inputs }).all { hasSize(3) }
        expectThat(execution.inputs.map { it.handle }).containsExactly("3.2.0", "4.1.0")
    }

    @Test
    fun `an input that two running stages have lost is computed again once`() {
        val runner = ScriptedRunner { stage, run ->
            if (stage >= RANK_TEXTS && run == 1) delay(if (stage == RANK_IMAGES) PAUSE_MS else PAUSE_MS / 2)
            if (stage == QUERY && run == 2) delay(PAUSE_MS)
            StageFailure.INPUT_GONE.takeIf { stage >= RANK_TEXTS && run == 1 }
        }
        expectThat(execution(runner, RANKINGS, RANKING_COUNTS).runToEnd()).isTrue()
        expectThat(runner.runsOf(QUERY)).hasSize(2)
        expectThat(runner.runsOf(IMAGES)).hasSize(1)
        expectThat(runner.runsOf(RANK_IMAGES).last().inputs).containsExactly("0.2.0", "2.1.0", "2.1.1", "2.1.2")
    }

    @Test
    fun `a stage that waits for an input fails with its computation`() {
        val queryLost = CompletableDeferred<Unit>()
        val runner = ScriptedRunner { stage, run ->
            when {
                stage == IMAGES -> null.also { queryLost.await() }

                stage == QUERY && run == 2 -> {
                    queryLost.complete(Unit)
                    delay(PAUSE_MS)
                    StageFailure.FAILED
                }

                stage == RANK_TEXTS -> StageFailure.INPUT_GONE

                else -> null
            }
        }
        val execution = execution(runner, RANKINGS, RANKING_COUNTS)
        expectThat(execution.runToEnd()).isFalse()
        expectThat(execution.failure?.failure).isEqualTo(StageFailure.FAILED)
        expectThat(runner.runsOf(RANK_IMAGES)).hasSize(0)
    }

    @Test
    fun `results that a computation needs again are kept although the other stages that need them have ended`() {
        val featuresLost = CompletableDeferred<Unit>()
        val releasedMeanwhile = mutableListOf<String>()
        lateinit var runner: ScriptedRunner
        runner = ScriptedRunner { stage, run ->
            if (stage == 2) featuresLost.await()
            if (stage == 1 && run == 2) {
                featuresLost.complete(Unit)
                delay(PAUSE_MS)
                releasedMeanwhile += runner.released
            }
            StageFailure.INPUT_GONE.takeIf { stage == 3 && run == 1 }
        }
        val after = listOf(emptyList(), listOf(0), listOf(0), listOf(1))
        expectThat(execution(runner, after, listOf(1, 1, 1, 1)).runToEnd()).isTrue()
        expectThat(releasedMeanwhile).doesNotContain("0.1.0")
        expectThat(runner.runsOf(0)).hasSize(1)
        expectThat(runner.runsOf(3).last().inputs).containsExactly("1.2.0")
    }

    @Test
    fun `a stage whose inputs are lost again and again fails`() {
        val runner = ScriptedRunner { stage, _ -> StageFailure.INPUT_GONE.takeIf { stage == 1 } }
        val execution = execution(runner, listOf(emptyList(), listOf(0)), listOf(1, 1))
        expectThat(execution.runToEnd()).isFalse()
        expectThat(execution.failure?.failure).isEqualTo(StageFailure.INPUT_GONE)
        expectThat(runner.runsOf(1)).hasSize(3)
    }

    private companion object {
        const val QUERY = 0
        const val IMAGES = 2
        const val RANK_TEXTS = 3
        const val RANK_IMAGES = 4
        const val PAUSE_MS = 200L
        const val TIMEOUT_MS = 10_000L

        /** A query, texts and images; the query is needed to rank the texts and to rank the images. */
        val RANKINGS = listOf(emptyList(), emptyList(), emptyList(), listOf(0, 1), listOf(0, 2))
        val RANKING_COUNTS = listOf(1, 2, 3, 1, 1)
    }
}
