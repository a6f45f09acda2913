package io.oriolehall.gateway.requests

import io.oriolehall.gateway.TrafficLoop
import io.oriolehall.gateway.http.Responder
import io.oriolehall.gateway.upstream.AcquireFailure
import io.oriolehall.gateway.upstream.EndpointPool
import io.oriolehall.gateway.upstream.ResponseBody
import io.oriolehall.gateway.upstream.UpstreamConnection
import io.oriolehall.gateway.upstream.UpstreamEvent
import io.oriolehall.gateway.upstream.receiveBody
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull

/**
 * One attempt at one endpoint: sends the request and receives the response. A plain response is buffered completely and
 * returned; the events of a stream are forwarded to the caller as they arrive, complete events only.
 *
 * @param onAnswerBegun is called before the first event of a stream is forwarded.
 * @param onStream is called when the response turns out to be a stream, before anything of it is forwarded.
 */
internal class Attempt(
    private val context: RequestContext,
    private val pool: EndpointPool,
    environment: RequestEnvironment,
    private val responder: Responder,
    private val splitter: EventSplitter,
    private val onAnswerBegun: () -> Unit,
    private val onStream: (() -> Unit)? = null,
) {
    private val wire = environment.wire
    private val headerPolicy = environment.headerPolicy
    private val polls = environment.polls
    private var responseComplete = false
    private var startedAtMs = 0L
    private var answerBegun = false

    /**
     * Sends the request with [inputs] and receives the response.
     *
     * @param headTimeoutMs timeout for the response head, milliseconds; null to wait until the deadline.
     */
    suspend fun run(inputs: List<String>, lastEventId: String?, headTimeoutMs: Long?): AttemptOutcome {
        val acquired = pool.acquire()
        if (acquired.isErr) {
            if (acquired.error is AcquireFailure.NotConnected) pool.health.onConnectionFailure(TrafficLoop.nowMs())
            return AttemptOutcome.NotRun(acquired.error.message, sent = false)
        }
        val connection = acquired.value
        pool.outstanding++
        try {
            noticeDeparture()
            val remainingMs = context.remainingMs()
            if (remainingMs <= 0) return AttemptOutcome.NotRun("deadline passed", sent = false)
            val headers = headerPolicy.requestHeaders(context, pool.endpoint, inputs, lastEventId, remainingMs)
            pool.coldLimit.onSent(TrafficLoop.nowMs())
            startedAtMs = TrafficLoop.nowMs()
            if (!connection.send(context.request.method, context.request.uri, headers, context.request.body)) {
                return AttemptOutcome.NotRun("connection closed before the request", sent = false)
            }
            context.onSent()
            return relay(connection, headTimeoutMs)
        } catch (e: AttemptSuperseded) {
            if (startedAtMs > 0) pool.health.onCancelled((TrafficLoop.nowMs() - startedAtMs).toDouble())
            throw e
        } finally {
            pool.outstanding--
            if (responseComplete) pool.release(connection) else pool.discard(connection)
        }
    }

    /**
     * If the event loop is behind, lets it poll the sockets before the request is sent: when the caller has left
     * meanwhile, this coroutine is cancelled.
     */
    private suspend fun noticeDeparture() {
        if (polls.ageMs >= MAX_POLL_AGE_MS) delay(1)
    }

    private suspend fun relay(connection: UpstreamConnection, headTimeoutMs: Long?): AttemptOutcome {
        val first = if (headTimeoutMs == null) {
            connection.receive()
        } else {
            withTimeoutOrNull(headTimeoutMs) { connection.receive() } ?: return headTimedOut(headTimeoutMs)
        }
        val head = first as? UpstreamEvent.Head ?: return lost((first as? UpstreamEvent.Broken)?.reason ?: "no head")
        return relayIfValid(connection, head)
    }

    /**
     * A response that names another request is misrouted, even if it says that its request has not run, and a success
     * without a signature is truncated.
     */
    private suspend fun relayIfValid(connection: UpstreamConnection, head: UpstreamEvent.Head): AttemptOutcome {
        val declined = head.headers.contains(wire.headers.notExecuted) || head.status == MISDIRECTED_REQUEST
        val success = head.status in SUCCESS
        return when {
            head.headers.get(wire.headers.attemptId) != context.attemptId -> lost("not the answer to this request")
            declined -> decline(connection, head)
            success && !head.headers.contains(wire.headers.signature) -> lost("answer not signed")
            success && isEventStream(head) -> relayEvents(connection, head)
            responder.started -> failWithinStream(connection, head)
            else -> receiveBuffered(connection, head)
        }
    }

    /** The caller has the beginning of a stream, which only the rest of that stream may follow. */
    private suspend fun failWithinStream(connection: UpstreamConnection, head: UpstreamEvent.Head): AttemptOutcome {
        readBody(connection)
        pool.health.onErrorResponse()
        val reason = "answered ${head.status} where the rest of a stream is due"
        return AttemptOutcome.Lost(reason, answerBegun, connectionFailed = false)
    }

    private fun headTimedOut(timeoutMs: Long): AttemptOutcome {
        pool.health.onConnectionFailure(TrafficLoop.nowMs())
        return AttemptOutcome.Lost("no answer in $timeoutMs ms", answerBegun, connectionFailed = false)
    }

    private fun lost(reason: String): AttemptOutcome {
        pool.health.onConnectionFailure(TrafficLoop.nowMs())
        return AttemptOutcome.Lost(reason, answerBegun)
    }

    private fun isEventStream(head: UpstreamEvent.Head): Boolean =
        head.headers.get("Content-Type").orEmpty().startsWith("text/event-stream")

    private suspend fun decline(connection: UpstreamConnection, head: UpstreamEvent.Head): AttemptOutcome {
        context.onDeclined()
        readBody(connection)
        if (head.status == UNAVAILABLE) pool.health.onOverload(TrafficLoop.nowMs())
        return AttemptOutcome.NotRun("endpoint declined with ${head.status}", sent = true)
    }

    /** Reads the response body to its end, so that the connection can be reused. */
    private suspend fun readBody(connection: UpstreamConnection): ResponseBody =
        connection.receiveBody(MAX_BUFFERED_BYTES).also { responseComplete = it is ResponseBody.Complete }

    private suspend fun receiveBuffered(connection: UpstreamConnection, head: UpstreamEvent.Head): AttemptOutcome {
        val received = readBody(connection)
        if (received is ResponseBody.Unusable) return lost("answer broke off: ${received.reason}")
        val body = (received as ResponseBody.Complete).bytes
        val headers = headerPolicy.responseHeaders(head.headers)
        if (head.status >= FIRST_SERVER_ERROR) {
            pool.health.onErrorResponse()
            return AttemptOutcome.Failure(head.status, headers, body)
        }
        pool.health.onSuccess((TrafficLoop.nowMs() - startedAtMs).toDouble())
        return AttemptOutcome.Complete(head.status, headers, body)
    }

    private suspend fun relayEvents(connection: UpstreamConnection, head: UpstreamEvent.Head): AttemptOutcome {
        onStream?.invoke()
        while (true) {
            when (val event = connection.receive()) {
                is UpstreamEvent.Data -> {
                    forwardEvents(head, event.bytes)
                    if (splitter.incompleteBytes > MAX_EVENT_BYTES) {
                        return lost("event is longer than $MAX_EVENT_BYTES bytes")
                    }
                }

                is UpstreamEvent.Broken -> return lost("stream broke off after ${splitter.eventCount} events")

                is UpstreamEvent.Head -> return lost("second head in a stream")

                UpstreamEvent.End -> return completeStream(head)
            }
        }
    }

    private fun completeStream(head: UpstreamEvent.Head): AttemptOutcome {
        if (!splitter.atBoundary) return lost("stream ended inside an event")
        if (head.endsWithConnection && !answerBegun) return lost("stream ended before its first event")
        responseComplete = true
        if (!responder.started) responder.startStreaming(head.status, headerPolicy.responseHeaders(head.headers))
        return AttemptOutcome.Delivered(head.status)
    }

    private suspend fun forwardEvents(head: UpstreamEvent.Head, bytes: ByteArray) {
        val completeEvents = splitter.append(bytes)
        if (completeEvents.isEmpty()) return
        if (!responder.started) {
            context.recordFirstByte()
            responder.startStreaming(head.status, headerPolicy.responseHeaders(head.headers))
            pool.health.onSuccess((TrafficLoop.nowMs() - startedAtMs).toDouble())
        }
        if (!answerBegun) onAnswerBegun()
        answerBegun = true
        responder.writeChunk(completeEvents)
    }

    private companion object {
        val SUCCESS = 200..299
        const val FIRST_SERVER_ERROR = 500
        const val MAX_POLL_AGE_MS = 50L
        const val UNAVAILABLE = 503
        const val MISDIRECTED_REQUEST = 421

        /** Size of a plain response; buffered responses share the memory of the process. */
        const val MAX_BUFFERED_BYTES = 4_194_304
        const val MAX_EVENT_BYTES = 262_144
    }
}
