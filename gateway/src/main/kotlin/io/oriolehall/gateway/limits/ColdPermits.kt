package io.oriolehall.gateway.limits

import io.oriolehall.dispatch.limits.ColdLimit
import io.oriolehall.dispatch.limits.ColdShare
import io.oriolehall.gateway.TrafficLoop
import io.oriolehall.model.EndpointId
import io.oriolehall.model.InstanceId
import io.oriolehall.peer.PeerChannel
import io.oriolehall.peer.PeerClient
import io.oriolehall.peer.PeerServer
import io.oriolehall.policy.membership.Member
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Asks the owner of an endpoint's cold limit for one request to it now; [perSecond] is what the endpoint bears. */
@Serializable
data class PermitQuery(@SerialName("e") val endpoint: EndpointId, @SerialName("p") val perSecond: Double)

@Serializable
data class PermitAnswer(@SerialName("g") val granted: Boolean)

/**
 * Single requests to endpoints of which this instance has no part, by the owner of each endpoint's limit. An owner that
 * cannot be asked grants nothing, and a new one waits until the one before has learnt of it, so that no two grant in
 * the same second. Used on the traffic thread only.
 */
internal class ColdPermits(
    private val self: InstanceId,
    private val ownerOf: (EndpointId) -> Member?,
    private val peers: PeerClient,
    private val scope: CoroutineScope,
) {
    /** The limit of an endpoint that this instance owns since [sinceMs]. */
    private class Owned(val sinceMs: Long) {
        val granted = ColdLimit()
    }

    private val owned = HashMap<EndpointId, Owned>()

    /** Answers the requests of other instances. */
    fun start(server: PeerServer) = server.answer(PERMIT) { query ->
        PermitAnswer(withContext(scope.coroutineContext.minusKey(kotlinx.coroutines.Job)) { grant(query) })
    }

    /** True when one request may be sent to [endpoint] at once. */
    suspend fun ask(endpoint: EndpointId, perSecond: Double): Boolean {
        val query = PermitQuery(endpoint, perSecond)
        val owner = ownerOf(endpoint) ?: return false
        if (owner.id == self) return grant(query)
        val askedAtMs = TrafficLoop.nowMs()
        val answer = withTimeoutOrNull(ANSWER_MS) { peers.call(owner.address, PERMIT, query, ANSWER_MS) }
        val stale = TrafficLoop.nowMs() - askedAtMs > ANSWER_MS
        return answer != null && answer.isOk && answer.value.granted && !stale
    }

    private fun grant(query: PermitQuery): Boolean {
        if (ownerOf(query.endpoint)?.id != self) {
            owned.remove(query.endpoint)
            return false
        }
        val nowMs = TrafficLoop.nowMs()
        val limit = owned.getOrPut(query.endpoint) { Owned(nowMs) }
        val settled = nowMs - limit.sinceMs >= NEW_OWNER_MS
        val allowed = settled && limit.granted.allows(nowMs, ColdShare.permits(query.perSecond))
        if (allowed) limit.granted.onSent(nowMs)
        return allowed
    }

    private companion object {
        val PERMIT = PeerChannel.of<PermitQuery, PermitAnswer>("cold.permit")

        /** Time after which a permit is worth nothing, milliseconds: the owner's second must still hold it. */
        const val ANSWER_MS = 60L

        /** Time from the first question to a new owner to its first permit, milliseconds: views agree by then. */
        const val NEW_OWNER_MS = 3_000L
    }
}
