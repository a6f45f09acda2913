package io.oriolehall.gateway.upstream

import io.netty.handler.codec.http.HttpHeaderNames
import io.oriolehall.dispatch.endpoints.EndpointCondition
import io.oriolehall.dispatch.endpoints.EndpointLoads
import io.oriolehall.dispatch.endpoints.EndpointRecord
import io.oriolehall.dispatch.endpoints.EndpointSignals
import io.oriolehall.dispatch.endpoints.EndpointSnapshot
import io.oriolehall.dispatch.endpoints.SendDecision
import io.oriolehall.dispatch.endpoints.SendPolicy
import io.oriolehall.gateway.TrafficLoop
import io.oriolehall.gateway.wire.LoadHeader
import io.oriolehall.runtime.Event
import io.oriolehall.runtime.EventLog

/**
 * Whether this instance may send to an endpoint, by the published state and by what the endpoint has said in its
 * answers. Used on the traffic thread only.
 *
 * @param snapshot the published endpoints.
 * @param leavingHeader header by which an endpoint says that it leaves.
 * @param loadHeader header by which an endpoint reports its load; null if endpoints report none.
 * @param onSignal is called with the kind of each signal of an endpoint, for the counters.
 */
class EndpointAccess(
    private val snapshot: () -> EndpointSnapshot,
    private val leavingHeader: String,
    private val log: EventLog,
    private val onSignal: (String) -> Unit = {},
    private val signals: EndpointSignals = EndpointSignals(),
    private val loadHeader: LoadHeader? = null,
    private val nowMs: () -> Long = TrafficLoop::nowMs,
) {
    /** The loads that endpoints report. */
    val loads = EndpointLoads()

    /** Registered endpoints of [service] that are not about to leave; some may be paused. */
    fun endpoints(service: String): List<EndpointRecord> =
        snapshot().usable(service).filterNot { signals.isLeaving(it.id) }

    /** What is known of [endpoint] apart from this instance's own traffic. */
    fun condition(endpoint: EndpointRecord): EndpointCondition = EndpointCondition(
        published = snapshot().obstacleFor(endpoint),
        leaving = signals.isLeaving(endpoint.id),
        pause = signals.pauseOf(endpoint.id),
    )

    /** Why no request may be sent to [endpoint] now, or null. */
    fun denial(endpoint: EndpointRecord): SendDecision.Denied? =
        SendPolicy.decide(condition(endpoint), nowMs()) as? SendDecision.Denied

    /** Takes note of what [endpoint] says of itself in the head of an answer. */
    fun onAnswer(endpoint: EndpointRecord, head: UpstreamEvent.Head) {
        if (head.headers.get(leavingHeader)?.trim() == LEAVING && signals.onLeaving(endpoint.id)) {
            onSignal("leaving")
            log.write(Event.ENDPOINT_LEAVING, "endpoint" to endpoint.id, "status" to head.status)
        }
        loadHeader?.let { readLoad(endpoint, head, it) }
        if (head.status != UNAVAILABLE) return
        val text = head.headers.get(HttpHeaderNames.RETRY_AFTER) ?: return
        val parsed = RetryAfter.parseMs(text)
        if (parsed.isOk) {
            pause(endpoint, parsed.value)
        } else {
            onSignal("unreadable_pause")
            log.write(Event.PAUSE_UNREADABLE, "endpoint" to endpoint.id, "error" to parsed.error.message)
        }
    }

    /** Takes note of a response of [endpoint] that cannot be decoded. */
    fun onMalformed(endpoint: EndpointRecord, error: String) {
        onSignal("malformed_response")
        log.write(Event.RESPONSE_MALFORMED, "endpoint" to endpoint.id, "error" to error)
    }

    private fun readLoad(endpoint: EndpointRecord, head: UpstreamEvent.Head, header: LoadHeader) {
        val text = head.headers.get(header.name)
        if (text == null) {
            loads.onNoReport(endpoint.incarnation)
            return
        }
        val parsed = header.parse(text)
        if (parsed.isErr) {
            onSignal("unreadable_load")
            if (loads.onUnreadable(endpoint.incarnation)) {
                log.write(Event.LOAD_UNREADABLE, "endpoint" to endpoint.id, "error" to parsed.error.message)
            }
            return
        }
        onSignal("load")
        if (loads.onReport(endpoint.incarnation, parsed.value, nowMs())) {
            log.write(
                Event.SPEED_REPORTED,
                "endpoint" to endpoint.id,
                "service" to endpoint.service,
                "timeFactor" to parsed.value.timeFactor,
            )
        }
    }

    /** Forgets pauses that have ended, and the loads of endpoints that are not in [current]. */
    fun removeObsolete(current: EndpointSnapshot) {
        loads.removeObsolete(current)
        signals.removeEndedPauses(nowMs()).forEach { log.write(Event.ENDPOINT_PAUSE_ENDED, "endpoint" to it) }
    }

    private fun pause(endpoint: EndpointRecord, durationMs: Long) {
        val pause = signals.onPause(endpoint.id, durationMs, nowMs()) ?: return
        onSignal("pause")
        log.write(Event.ENDPOINT_PAUSED, "endpoint" to endpoint.id, "forMs" to pause.untilMs - nowMs())
    }

    private companion object {
        const val LEAVING = "1"
        const val UNAVAILABLE = 503
    }
}
