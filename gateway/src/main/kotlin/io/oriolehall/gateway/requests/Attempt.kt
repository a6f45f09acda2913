package io.oriolehall.gateway.requests

import io.oriolehall.gateway.TrafficLoop
import io.oriolehall.gateway.http.Responder
import io.oriolehall.gateway.upstream.EndpointPool
import io.oriolehall.gateway.upstream.UpstreamConnection
import io.oriolehall.gateway.upstream.UpstreamEvent
import io.oriolehall.gateway.wire.WireProtocol
import kotlinx.coroutines.withTimeoutOrNull
import java.io.ByteArrayOutputStream

/**
 * One send of a request to one endpoint, and the reading of its answer. Plain answers are read whole before a byte goes
 * to the caller; events of a stream are passed on as they come, whole events only.
 */
internal class Attempt(
    private val context: RequestContext,
    private val pool: EndpointPool,
    private val wire: WireProtocol,
    private val policy: HeaderPolicy,
    private val responder: Responder,
    private val events: EventSplitter,
    private val onFirstEvent: () -> Unit,
) {
    private var whole = false
    private var startedAtMs = 0L
    private var ranBefore = false

    /**
     * Sends the request with [inputs] and passes the answer on.
     *
     * @param headTimeoutMs longest wait for the head of the answer, milliseconds; null for the time that is left.
     */
    suspend fun run(inputs: List<String>, lastEventId: String?, headTimeoutMs: Long?): AttemptOutcome {
        val acquired = pool.acquire()
        if (acquired.isErr) {
            pool.health.failed(TrafficLoop.nowMs())
            return AttemptOutcome.NotRun(acquired.error.message, overloaded = false)
        }
        val connection = acquired.value
        pool.outstanding++
        try {
            val leftMs = context.leftMs()
            if (leftMs <= 0) return AttemptOutcome.NotRun("deadline passed", overloaded = false)
            val headers = policy.toEndpoint(context, pool.endpoint, inputs, lastEventId, leftMs)
            pool.coldLimit.onSent(TrafficLoop.nowMs())
            startedAtMs = TrafficLoop.nowMs()
            if (!connection.send(context.request.method, context.request.uri, headers, context.request.body)) {
                return AttemptOutcome.NotRun("connection closed before the request", overloaded = false)
            }
            ranBefore = context.mayHaveRun
            context.mayHaveRun = true
            return relay(connection, headTimeoutMs)
        } finally {
            pool.outstanding--
            if (whole) pool.release(connection) else pool.discard(connection)
        }
    }

    private suspend fun relay(connection: UpstreamConnection, headTimeoutMs: Long?): AttemptOutcome {
        val first = if (headTimeoutMs == null) {
            connection.receive()
        } else {
            withTimeoutOrNull(headTimeoutMs) { connection.receive() } ?: return silent(headTimeoutMs)
        }
        val head = first as? UpstreamEvent.Head ?: return lost((first as? UpstreamEvent.Broken)?.reason ?: "no head")
        val declined = head.headers.contains(wire.headers.notExecuted) || head.status == MISDIRECTED
        return if (declined) decline(connection, head) else passOn(connection, head)
    }

    /** An answer that names another request, or a success without a signature, is not this endpoint's whole answer. */
    private suspend fun passOn(connection: UpstreamConnection, head: UpstreamEvent.Head): AttemptOutcome {
        val success = head.status in SUCCESS
        return when {
            head.headers.get(wire.headers.attemptId) != context.attemptId -> lost("not the answer to this request")
            success && !head.headers.contains(wire.headers.signature) -> lost("answer not signed")
            success && isEvents(head) -> relayEvents(connection, head)
            else -> relayWhole(connection, head)
        }
    }

    private fun silent(ms: Long): AttemptOutcome {
        pool.health.failed(TrafficLoop.nowMs())
        return AttemptOutcome.Lost("no answer in $ms ms")
    }

    private fun lost(reason: String): AttemptOutcome {
        pool.health.failed(TrafficLoop.nowMs())
        return AttemptOutcome.Lost(reason)
    }

    private fun isEvents(head: UpstreamEvent.Head): Boolean =
        head.headers.get("Content-Type").orEmpty().startsWith("text/event-stream")

    private suspend fun decline(connection: UpstreamConnection, head: UpstreamEvent.Head): AttemptOutcome {
        context.mayHaveRun = ranBefore
        readBody(connection)
        if (head.status == UNAVAILABLE) pool.health.overloaded(TrafficLoop.nowMs())
        return AttemptOutcome.NotRun("endpoint declined with ${head.status}", overloaded = head.status == UNAVAILABLE)
    }

    /** Reads an answer to its end; null when it broke before. */
    private suspend fun readBody(connection: UpstreamConnection): ByteArray? {
        val body = ByteArrayOutputStream()
        while (true) {
            when (val event = connection.receive()) {
                is UpstreamEvent.Data -> body.writeBytes(event.bytes)

                UpstreamEvent.End -> {
                    whole = true
                    return body.toByteArray()
                }

                else -> return null
            }
        }
    }

    private suspend fun relayWhole(connection: UpstreamConnection, head: UpstreamEvent.Head): AttemptOutcome {
        val body = readBody(connection) ?: return lost("answer broke off")
        val headers = policy.toCaller(head.headers)
        if (head.status >= FIRST_FAILURE) {
            pool.health.answeredWithFailure()
            return AttemptOutcome.Failure(head.status, headers, body)
        }
        pool.health.succeeded((TrafficLoop.nowMs() - startedAtMs).toDouble())
        context.noteFirst()
        responder.full(head.status, headers, body)
        return AttemptOutcome.Delivered(head.status)
    }

    private suspend fun relayEvents(connection: UpstreamConnection, head: UpstreamEvent.Head): AttemptOutcome {
        while (true) {
            when (val event = connection.receive()) {
                is UpstreamEvent.Data -> pass(head, event.bytes)

                is UpstreamEvent.Broken -> return lost("stream broke off after ${events.events} events")

                is UpstreamEvent.Head -> return lost("second head in a stream")

                UpstreamEvent.End -> {
                    if (!events.atBoundary) return lost("stream ended inside an event")
                    whole = true
                    if (!responder.started) responder.begin(head.status, policy.toCaller(head.headers))
                    responder.end()
                    return AttemptOutcome.Delivered(head.status)
                }
            }
        }
    }

    private suspend fun pass(head: UpstreamEvent.Head, bytes: ByteArray) {
        val ready = events.take(bytes)
        if (ready.isEmpty()) return
        if (!responder.started) {
            context.noteFirst()
            responder.begin(head.status, policy.toCaller(head.headers))
            pool.health.succeeded((TrafficLoop.nowMs() - startedAtMs).toDouble())
        }
        onFirstEvent()
        responder.data(ready)
    }

    private companion object {
        val SUCCESS = 200..299
        const val FIRST_FAILURE = 500
        const val UNAVAILABLE = 503
        const val MISDIRECTED = 421
    }
}
