package io.oriolehall.gateway.stages

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.oriolehall.dispatch.endpoints.EndpointRecord
import io.oriolehall.dispatch.stages.PieceWork
import io.oriolehall.gateway.TrafficLoop
import io.oriolehall.gateway.upstream.AcquireFailure
import io.oriolehall.gateway.upstream.EndpointPools
import io.oriolehall.gateway.upstream.ResponseBody
import io.oriolehall.gateway.upstream.UpstreamConnection
import io.oriolehall.gateway.upstream.UpstreamEvent
import io.oriolehall.gateway.upstream.receiveBody
import io.oriolehall.gateway.wire.PieceOutcome
import io.oriolehall.gateway.wire.WireProtocol
import io.oriolehall.model.FieldText
import kotlinx.coroutines.withTimeoutOrNull

/** Result of a call to a stage worker. */
internal sealed interface StageCallAnswer {
    data class Done(val outcomes: List<PieceOutcome>) : StageCallAnswer

    /**
     * The worker reported that it did not run the call, or wants no call now.
     *
     * @property pauseMs milliseconds for which it wants no calls, 0 if it did not say.
     */
    data class Declined(val reason: String, val pauseMs: Long = 0) : StageCallAnswer

    /** The call failed without a usable answer; the worker may have run it. */
    data class Failed(val reason: String) : StageCallAnswer

    fun describe(): String = when (this) {
        is Done -> outcomes.groupingBy { it::class.simpleName }.eachCount().toString()
        is Declined -> "declined: $reason"
        is Failed -> reason
    }
}

/** Calls stage workers over pooled connections. Used on the traffic thread only. */
internal class StageWorkerClient(private val pools: EndpointPools, private val wire: WireProtocol) {
    private class Answer(val status: Int, val headers: HttpHeaders, val body: ByteArray)

    suspend fun run(endpoint: EndpointRecord, pieces: List<PieceWork>, timeoutMs: Long): StageCallAnswer {
        val body = wire.stageCallCodec.encodeRun(pieces, TrafficLoop.nowMs())
        val answer = call(endpoint, wire.stageCallCodec.runPath, body, timeoutMs)
        val response = when (answer) {
            is CallOutcome.Failed -> return StageCallAnswer.Failed(answer.reason)
            is CallOutcome.Denied -> return StageCallAnswer.Declined(answer.reason, pauseMs(endpoint))
            is CallOutcome.Answered -> answer.answer
        }
        if (response.headers.contains(wire.headers.notExecuted) || response.status == MISDIRECTED_REQUEST) {
            return StageCallAnswer.Declined("status ${response.status}", pauseMs(endpoint))
        }
        val outcomes = if (response.status == OK) wire.stageCallCodec.decodeRun(response.body) else null
        if (outcomes?.size != pieces.size) return StageCallAnswer.Failed("answer ${response.status} cannot be used")
        return StageCallAnswer.Done(outcomes.map(::checked))
    }

    /** A handle that a request cannot name is worth as much as no result. */
    private fun checked(outcome: PieceOutcome): PieceOutcome {
        val nameable = outcome !is PieceOutcome.Done || FieldText.isSendableInList(outcome.handle)
        return if (nameable) outcome else PieceOutcome.Failed
    }

    private fun pauseMs(endpoint: EndpointRecord): Long =
        pools.access.denial(endpoint)?.untilMs?.let { maxOf(0, it - TrafficLoop.nowMs()) } ?: 0

    /** Frees results at the worker. Returns false if the worker did not confirm it; the results then expire later. */
    suspend fun release(endpoint: EndpointRecord, handles: List<String>): Boolean {
        val answer =
            call(
                endpoint,
                wire.stageCallCodec.releasePath,
                wire.stageCallCodec.encodeRelease(handles),
                RELEASE_TIMEOUT_MS,
            )
        return answer is CallOutcome.Answered && answer.answer.status == OK
    }

    private sealed interface CallOutcome {
        class Answered(val answer: Answer) : CallOutcome

        class Failed(val reason: String) : CallOutcome

        class Denied(val reason: String) : CallOutcome
    }

    private suspend fun call(
        endpoint: EndpointRecord,
        path: String,
        body: ByteArray,
        timeoutMs: Long,
    ): CallOutcome {
        val pool = pools.poolOf(endpoint)
        val acquired = pool.acquire()
        if (acquired.isErr) {
            val failure = acquired.error
            return if (failure is AcquireFailure.Denied) {
                CallOutcome.Denied(failure.message)
            } else {
                CallOutcome.Failed(failure.message)
            }
        }
        val connection = acquired.value
        var answered = false
        try {
            if (!connection.send("POST", path, headers(endpoint, body, timeoutMs), body)) {
                return CallOutcome.Failed("connection closed")
            }
            val answer = withTimeoutOrNull(timeoutMs) { receive(connection) }
                ?: return CallOutcome.Failed("no answer in $timeoutMs ms")
            answered = answer is CallOutcome.Answered
            return answer
        } finally {
            if (answered) pool.release(connection) else pool.discard(connection)
        }
    }

    private fun headers(endpoint: EndpointRecord, body: ByteArray, timeoutMs: Long): HttpHeaders = DefaultHttpHeaders()
        .set("Host", endpoint.address.toString())
        .set("Content-Type", wire.stageCallCodec.contentType)
        .set("Content-Length", body.size)
        .set(wire.headers.expectedEndpoint, FieldText.octets(endpoint.id.value))
        .set(wire.headers.deadlineMs, timeoutMs)

    private suspend fun receive(connection: UpstreamConnection): CallOutcome {
        val head = when (val first = connection.receive()) {
            is UpstreamEvent.Head -> first
            is UpstreamEvent.Broken -> return CallOutcome.Failed(first.reason)
            else -> return CallOutcome.Failed("answer without a head")
        }
        return when (val body = connection.receiveBody(MAX_ANSWER_BYTES)) {
            is ResponseBody.Complete -> CallOutcome.Answered(Answer(head.status, head.headers, body.bytes))
            is ResponseBody.Unusable -> CallOutcome.Failed(body.reason)
        }
    }

    private companion object {
        const val OK = 200
        const val MISDIRECTED_REQUEST = 421
        const val RELEASE_TIMEOUT_MS = 1_000L

        /** An answer holds a short handle for each piece of a call. */
        const val MAX_ANSWER_BYTES = 1_048_576
    }
}
