package io.oriolehall.harness.benchmark

import io.oriolehall.cli.client.CallOutcome
import io.oriolehall.cli.client.CallerClient
import io.oriolehall.entry.stages.EndpointClient
import io.oriolehall.entry.stages.GeneratedText
import io.oriolehall.model.Endpoint
import io.oriolehall.model.OrganisationId
import io.oriolehall.model.Pipeline
import io.oriolehall.model.PipelineRequest
import io.oriolehall.model.RequestId
import io.oriolehall.model.Stage
import io.oriolehall.model.StageCall
import io.oriolehall.model.StageKind

/** One way of getting a pipeline's answer. */
internal fun interface BenchmarkCaller {
    /** Sends request [number]; true when the answer arrived whole. [onToken] is called as each piece of it arrives. */
    suspend fun call(number: Int, onToken: () -> Unit): Boolean
}

private fun inputOf(number: Int) = "How is the furisode of fitting $number cared for, steamed and folded?"

/** Calls through an entry instance. */
internal class EntryCaller(
    private val client: CallerClient,
    private val pipeline: Pipeline,
    private val tokens: Int,
    private val deadlineMs: Long,
) : BenchmarkCaller {
    override suspend fun call(number: Int, onToken: () -> Unit): Boolean {
        val request = PipelineRequest(inputOf(number), tokens)
        return client.send(pipeline.id.value, request, deadlineMs) { onToken() } is CallOutcome.Whole
    }
}

/** Calls the endpoints of each stage itself, in turn. */
internal class DirectCaller(
    private val client: EndpointClient,
    private val pipeline: Pipeline,
    private val endpoints: List<Endpoint>,
    private val tokens: Int,
    private val deadlineMs: Long,
) : BenchmarkCaller {
    override suspend fun call(number: Int, onToken: () -> Unit): Boolean {
        val query = inputOf(number)
        var input = query
        for (stage in pipeline.stages) {
            val call = callOf(stage, number, input, query)
            val endpoint = endpointOf(stage, number)
            val outcome = if (stage.kind == StageKind.GENERATE) {
                client.generate(endpoint, call, GeneratedText { onToken() })
            } else {
                client.run(endpoint, call)
            }
            if (outcome.isErr) return false
            input = outcome.value.output
        }
        return true
    }

    private fun endpointOf(stage: Stage, number: Int): Endpoint {
        val pool = endpoints.filter { it.pool == stage.pool }
        return pool[number % pool.size]
    }

    private fun callOf(stage: Stage, number: Int, input: String, query: String) = StageCall(
        requestId = RequestId("direct-$number"),
        stage = stage.name,
        attempt = 1,
        organisation = OrganisationId("direct"),
        input = input,
        query = query,
        remainingMs = deadlineMs,
        maxTokens = tokens,
    )
}
