package io.oriolehall.entry.orders

import io.oriolehall.model.EndpointId
import io.oriolehall.model.Incarnation
import io.oriolehall.model.InstanceId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.settings.InstanceSettings
import io.oriolehall.peer.PeerChannel
import io.oriolehall.peer.PeerClient
import io.oriolehall.peer.PeerServer
import io.oriolehall.policy.hashing.Rendezvous
import io.oriolehall.policy.membership.MembershipView
import io.oriolehall.policy.orders.OrderTiming
import io.oriolehall.policy.orders.PermitHolder
import io.oriolehall.policy.orders.PermitRegistry
import io.oriolehall.runtime.TimerService
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.withContext
import kotlinx.serialization.Serializable

/** Asks the owner of the zone's weight store for a permit, or gives one back. */
@Serializable
data class PermitRequest(val holder: PermitHolder, val release: Boolean = false)

@Serializable
data class PermitAnswer(val granted: Boolean = false)

internal val LOAD_PERMITS = PeerChannel.of<PermitRequest, PermitAnswer>("load-permits")

/**
 * A permit that was granted.
 *
 * @property startByMs monotonic time until which the order may be sent, milliseconds.
 */
internal class LoadPermit(val owner: InstanceId, val holder: PermitHolder, val startByMs: Long)

/** Permits to load from the weight store of this instance's zone. Used on the control thread. */
internal class LoadPermits(
    private val self: InstanceSettings,
    private val incarnation: Incarnation,
    limit: Int,
    private val timing: OrderTiming,
    private val view: () -> MembershipView?,
    private val dialled: (NetworkAddress) -> NetworkAddress,
    private val peers: PeerClient,
    private val timers: TimerService,
) {
    private val store = EndpointId("weight-store of ${self.zone}")
    private val registry = PermitRegistry(limit, timing.permitMs)

    /** Answers the other instances of the zone on the thread of [scope]. */
    fun serve(server: PeerServer, scope: CoroutineScope) {
        val control = scope.coroutineContext.minusKey(Job)
        server.answer(LOAD_PERMITS) { request -> withContext(control) { answer(request) } }
    }

    /** Updates who owns the store; called at least as often as an engine is looked at. */
    fun updateOwnership() = registry.updateOwnership(owner() == self.id, timers.nowMs())

    /** A permit to load [endpoint], or null when there is none now. */
    suspend fun take(endpoint: EndpointId): LoadPermit? {
        val owner = owner() ?: return null
        val askedAtMs = timers.nowMs()
        val permit = LoadPermit(owner, PermitHolder(endpoint, incarnation), askedAtMs + timing.sendWithinMs)
        return permit.takeIf { ask(owner, PermitRequest(it.holder)) }
    }

    /** Gives [permit] back. A message that is lost costs the time until the permit ends by itself. */
    suspend fun release(permit: LoadPermit) {
        ask(permit.owner, PermitRequest(permit.holder, release = true))
    }

    private suspend fun ask(owner: InstanceId, request: PermitRequest): Boolean {
        if (owner == self.id) return answer(request).granted
        val address = view()?.member(owner)?.address ?: return false
        val answer = peers.call(dialled(address), LOAD_PERMITS, request, CALL_TIMEOUT_MS)
        return answer.isOk && answer.value.granted
    }

    private fun answer(request: PermitRequest): PermitAnswer {
        updateOwnership()
        if (request.release) {
            registry.release(request.holder)
            return PermitAnswer()
        }
        return PermitAnswer(registry.grant(request.holder, timers.nowMs()))
    }

    private fun owner(): InstanceId? {
        val current = view()?.takeIf { it.isFresh(timers.nowMs()) } ?: return null
        return Rendezvous.owner(store, current.ownerCandidates(self.zone).map { it.id })
    }

    private companion object {
        const val CALL_TIMEOUT_MS = 500L
    }
}
