package io.oriolehall.harness.demo

import io.oriolehall.cli.client.CallOutcome
import io.oriolehall.harness.fleet.EntryProcess
import io.oriolehall.harness.fleet.Fleet
import io.oriolehall.harness.fleet.newKey
import io.oriolehall.model.PipelineRequest
import io.oriolehall.standins.compute.DataSet
import io.oriolehall.standins.compute.expectedAnswer
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlin.random.Random

/** Sends a deployment's requests at a steady rate through instances chosen at random. */
class DemoTraffic(private val fleet: Fleet, private val deployment: Deployment, private val random: Random) {
    private val data = DataSet.load(deployment.dataSet)
    private val choices = deployment.requests.flatMap { kind -> List(kind.weight) { kind } }

    /** Sends [perSecond] requests a second for [seconds] seconds and waits for all their answers. */
    suspend fun run(perSecond: Int, seconds: Int, onSecond: suspend (Int) -> Unit): List<DemoCall> = coroutineScope {
        val calls = (0 until perSecond * seconds).map { index ->
            if (index % perSecond == 0) onSecond(index / perSecond)
            delay(MS_PER_SECOND / perSecond)
            val planned = plan()
            async { planned.perform() }
        }
        calls.awaitAll().flatten()
    }

    /** Sends one request of each kind through each instance, so that fresh processes have run every path once. */
    suspend fun warmUp(): List<DemoCall> = coroutineScope {
        val rounds = fleet.entries.map { entry ->
            async { deployment.requests.flatMap { warmUpCall(entry, it).perform() } }
        }
        rounds.awaitAll().flatten()
    }

    private fun warmUpCall(entry: EntryProcess, kind: RequestKind) = Planned(
        organisation = deployment.organisations.first(),
        kind = kind,
        request = PipelineRequest(kind.inputs.first(), kind.maxTokens),
        entry = entry,
        again = null,
        deadlineMs = WARM_UP_DEADLINE_MS,
    )

    private fun plan(): Planned {
        val kind = choices.random(random)
        return Planned(
            organisation = deployment.organisations.random(random),
            kind = kind,
            request = PipelineRequest(kind.inputs.random(random), kind.maxTokens),
            entry = fleet.entries.random(random),
            again = fleet.entries.random(random).takeIf { random.nextInt(RESENT_ONE_IN) == 0 },
        )
    }

    /** [again] is the instance through which a request that has a key is sent a second time. */
    private inner class Planned(
        val organisation: String,
        val kind: RequestKind,
        val request: PipelineRequest,
        val entry: EntryProcess,
        val again: EntryProcess?,
        val deadlineMs: Long = DEADLINE_MS,
    ) {
        private val pipeline = fleet.pipeline(kind.pipeline)
        private val expected = expectedAnswer(pipeline, request.input, request.maxTokens, data)

        suspend fun perform(): List<DemoCall> {
            if (pipeline.idempotent) return listOf(send(entry, key = null))
            val key = fleet.caller(organisation, entry).mintToken()?.token ?: newKey()
            val first = send(entry, key)
            return listOfNotNull(first, again?.let { send(it, key) })
        }

        private suspend fun send(entry: EntryProcess, key: String?): DemoCall {
            val outcome: CallOutcome =
                fleet.caller(organisation, entry).send(kind.pipeline, request, deadlineMs, key)
            return DemoCall(organisation, kind.pipeline, deadlineMs, key, expected, outcome)
        }
    }

    private companion object {
        const val DEADLINE_MS = 4_000L
        const val WARM_UP_DEADLINE_MS = 20_000L
        const val MS_PER_SECOND = 1_000L
        const val RESENT_ONE_IN = 4
    }
}
