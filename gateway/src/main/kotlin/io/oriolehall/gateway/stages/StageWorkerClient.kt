package io.oriolehall.gateway.stages

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.oriolehall.dispatch.endpoints.EndpointLoad
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
import kotlin.random.Random

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

/**
 * Calls stage workers over pooled connections. Each call has an identifier, which workers may return with the answer.
 * An answer that names another call, or the results of other pieces, is a second answer to an earlier call. It is not
 * used, and its connection is closed, because the answer to this call may follow on it. Used on the traffic thread
 * only.
 */
internal class StageWorkerClient(private val pools: EndpointPools, private val wire: WireProtocol) {
    /** @property identified true if it names the call that it answers. */
    private class Answer(val status: Int, val headers: HttpHeaders, val body: ByteArray, val identified: Boolean)

    private val handles = HandleHistory()

    /** The load that [endpoint] reports in its responses. */
    fun loadOf(endpoint: EndpointRecord): EndpointLoad = pools.access.loads.of(endpoint.incarnation)

    suspend fun run(endpoint: EndpointRecord, pieces: List<PieceWork>, timeoutMs: Long): StageCallAnswer {
        val body = wire.stageCallCodec.encodeRun(pieces, TrafficLoop.nowMs())
        val outcome = call(endpoint, wire.stageCallCodec.runPath, body, timeoutMs) { runAnswer(endpoint, pieces, it) }
        return when (outcome) {
            is CallOutcome.Failed -> StageCallAnswer.Failed(outcome.reason)
            is CallOutcome.Denied -> StageCallAnswer.Declined(outcome.reason, pauseMs(endpoint))
            is CallOutcome.Answered -> outcome.content
        }
    }

    /**
     * What [answer] says of [pieces]. Without an identifier, only results show that it belongs to this call; any other
     * answer is believed, but its connection is not used again.
     */
    private fun runAnswer(
        endpoint: EndpointRecord,
        pieces: List<PieceWork>,
        answer: Answer,
    ): CallOutcome.Answered<StageCallAnswer> {
        if (answer.headers.contains(wire.headers.notExecuted) || answer.status == MISDIRECTED_REQUEST) {
            val declined = StageCallAnswer.Declined("status ${answer.status}", pauseMs(endpoint))
            return CallOutcome.Answered(declined, answer.identified)
        }
        val outcomes = if (answer.status == OK) wire.stageCallCodec.decodeRun(answer.body) else null
        if (outcomes?.size != pieces.size) return unusable("answer ${answer.status} cannot be used")
        val results = pieces.zip(outcomes.map(::checked))
        val produced = results.mapNotNull { (piece, outcome) ->
            (outcome as? PieceOutcome.Done)?.let { it.handle to piece }
        }
        val foreign = !answer.identified && produced.any { (handle, piece) -> handles.isForeign(handle, piece) }
        if (foreign) return unusable("results of another call")
        produced.forEach { (handle, piece) -> handles.record(handle, piece) }
        val done = StageCallAnswer.Done(results.map { it.second })
        return CallOutcome.Answered(done, answer.identified || produced.isNotEmpty())
    }

    private fun unusable(reason: String) =
        CallOutcome.Answered<StageCallAnswer>(StageCallAnswer.Failed(reason), connectionReusable = false)

    /** A handle that a request cannot name is worth as much as no result. */
    private fun checked(outcome: PieceOutcome): PieceOutcome {
        val nameable = outcome !is PieceOutcome.Done || FieldText.isSendableInList(outcome.handle)
        return if (nameable) outcome else PieceOutcome.Failed
    }

    private fun pauseMs(endpoint: EndpointRecord): Long =
        pools.access.denial(endpoint)?.untilMs?.let { maxOf(0, it - TrafficLoop.nowMs()) } ?: 0

    /** Frees results at the worker. Returns false if the worker did not confirm it; the results then expire later. */
    suspend fun release(endpoint: EndpointRecord, handles: List<String>): Boolean {
        val body = wire.stageCallCodec.encodeRelease(handles)
        val outcome = call(endpoint, wire.stageCallCodec.releasePath, body, RELEASE_TIMEOUT_MS) { answer ->
            val own = answer.identified || !holdsResults(answer)
            CallOutcome.Answered(own && answer.status == OK, connectionReusable = own)
        }
        return outcome is CallOutcome.Answered && outcome.content
    }

    private fun holdsResults(answer: Answer) =
        answer.body.isNotEmpty() && wire.stageCallCodec.decodeRun(answer.body) != null

    private sealed interface CallOutcome<out T> {
        class Answered<T>(val content: T, val connectionReusable: Boolean) : CallOutcome<T>

        class Failed(val reason: String) : CallOutcome<Nothing>

        class Denied(val reason: String) : CallOutcome<Nothing>
    }

    private suspend fun <T> call(
        endpoint: EndpointRecord,
        path: String,
        body: ByteArray,
        timeoutMs: Long,
        read: (Answer) -> CallOutcome.Answered<T>,
    ): CallOutcome<T> {
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
        val callId = newCallId()
        var reusable = false
        try {
            if (!connection.send("POST", path, headers(endpoint, callId, body, timeoutMs), body)) {
                return CallOutcome.Failed("connection closed")
            }
            val answer = withTimeoutOrNull(timeoutMs) { receive(connection, callId) }
                ?: return CallOutcome.Failed("no answer in $timeoutMs ms")
            if (answer.isErr) return CallOutcome.Failed(answer.error)
            return read(answer.value).also { reusable = it.connectionReusable }
        } finally {
            if (reusable) pool.release(connection) else pool.discard(connection)
        }
    }

    private fun headers(endpoint: EndpointRecord, callId: String, body: ByteArray, timeoutMs: Long): HttpHeaders =
        DefaultHttpHeaders()
            .set("Host", endpoint.address.toString())
            .set("Content-Type", wire.stageCallCodec.contentType)
            .set("Content-Length", body.size)
            .set(wire.headers.attemptId, callId)
            .set(wire.headers.expectedEndpoint, FieldText.octets(endpoint.id.value))
            .set(wire.headers.deadlineMs, timeoutMs)

    /** Receives the answer to the call [callId], or the reason why there is none. */
    private suspend fun receive(connection: UpstreamConnection, callId: String): Result<Answer, String> {
        val head = when (val first = connection.receive()) {
            is UpstreamEvent.Head -> first
            is UpstreamEvent.Broken -> return Err(first.reason)
            else -> return Err("answer without a head")
        }
        val answeredId = head.headers.get(wire.headers.attemptId)
        if (answeredId != null && answeredId != callId) return Err("answer to call $answeredId")
        return when (val body = connection.receiveBody(MAX_ANSWER_BYTES)) {
            is ResponseBody.Complete -> Ok(Answer(head.status, head.headers, body.bytes, answeredId != null))
            is ResponseBody.Unusable -> Err(body.reason)
        }
    }

    private companion object {
        private const val CALL_ID_DIGITS = 16
        private const val RADIX = 16

        /** Identifier of a call, unique among all instances by its randomness. */
        fun newCallId(): String = Random.nextLong().toULong().toString(RADIX).padStart(CALL_ID_DIGITS, '0')

        const val OK = 200
        const val MISDIRECTED_REQUEST = 421
        const val RELEASE_TIMEOUT_MS = 1_000L

        /** An answer holds a short handle for each piece of a call. */
        const val MAX_ANSWER_BYTES = 1_048_576
    }
}
