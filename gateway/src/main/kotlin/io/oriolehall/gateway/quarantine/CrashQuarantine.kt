package io.oriolehall.gateway.quarantine

import io.oriolehall.gateway.TrafficLoop
import io.oriolehall.model.EndpointId
import io.oriolehall.policy.quarantine.CrashRegister
import io.oriolehall.policy.quarantine.EndpointLoss
import io.oriolehall.policy.quarantine.Fingerprint
import io.oriolehall.policy.quarantine.RequestFingerprints
import io.oriolehall.policy.quarantine.SoundFingerprints
import io.oriolehall.policy.quarantine.Standing
import io.oriolehall.runtime.Event
import io.oriolehall.runtime.EventLog

/**
 * Keeps requests that crash endpoints from crashing more of them. Attributes the end of an endpoint to the requests
 * that it was running and to the parts of their prompts, and exchanges what it learns with the other instances. Used on
 * the traffic thread only.
 *
 * A loss is not held against what an endpoint has lately got through: a loss before the answer had begun not against
 * what has had the beginning of an answer, and a loss amid the answer not against what has had a complete one.
 */
internal class CrashQuarantine(
    private val exchange: CrashExchange,
    private val log: EventLog,
    private val nowMs: () -> Long = TrafficLoop::nowMs,
) {
    private var register = CrashRegister()
    private val begun = SoundFingerprints()
    private val completed = SoundFingerprints()

    /** The losses of the last [maxAgeMs] milliseconds that this instance knows, and those of all that is blamed. */
    fun known(maxAgeMs: Long = Long.MAX_VALUE): List<SharedLoss> {
        val now = nowMs()
        return register.losses.flatMap { (fingerprint, losses) ->
            val isBlamed = register.standing(fingerprint, now) == Standing.BLAMED
            losses.filter { isBlamed || now - it.atMs <= maxAgeMs }.map {
                SharedLoss(fingerprint, it.endpoint, it.request, now - it.atMs, it.answerBegun)
            }
        }
    }

    /** Returns why the request with [fingerprints] is refused, or null if it may run. */
    fun refusal(fingerprints: RequestFingerprints): Refusal? {
        if (register.losses.isEmpty()) return null
        val reason = register.reasonToRefuse(fingerprints.all, nowMs()) ?: return null
        return Refusal(reason, register.blameRemainingMs(reason, nowMs()))
    }

    /** Records that [endpoint] ended while it ran the requests [lost]. */
    fun onEndpointEnded(endpoint: EndpointId, lost: List<LostRequest>) {
        val losses = lost.flatMap { request ->
            request.fingerprints.all.map {
                SharedLoss(it, endpoint, request.fingerprints.request, ageMs = 0, request.answerBegun)
            }
        }
        val suspected = losses.filterNot(::isCleared)
        if (suspected.isEmpty()) return
        addLosses(suspected, "this instance")
        exchange.tell(CrashNotice(suspected), onCleared = ::clearEverywhere)
    }

    /** Records that an endpoint has begun to answer the request with [fingerprints]. */
    fun onAnswerBegun(fingerprints: RequestFingerprints) {
        fingerprints.all.forEach { begun.add(it, nowMs()) }
        clearEverywhere(ClearedFingerprints(begun = fingerprints.all))
    }

    /** Records that an endpoint has answered the request with [fingerprints] to the end. */
    fun onAnswerCompleted(fingerprints: RequestFingerprints) {
        fingerprints.all.forEach { completed.add(it, nowMs()) }
        clearEverywhere(ClearedFingerprints(completed = fingerprints.all))
    }

    /**
     * Takes what another instance tells. Returns the fingerprints that it suspects and that have been answered here.
     * What others have seen answered is not remembered, or instances would confirm it to each other without end.
     */
    fun onNotice(notice: CrashNotice): ClearedFingerprints {
        clear(notice.cleared)
        addLosses(notice.losses.filterNot(::isCleared), "another instance")
        val told = notice.losses.map(SharedLoss::fingerprint).distinct()
        return ClearedFingerprints(begun = told.filter { it in begun }, completed = told.filter { it in completed })
    }

    fun removeExpired() {
        register = register.withoutExpired(nowMs())
    }

    private fun isCleared(loss: SharedLoss): Boolean = loss.fingerprint in if (loss.answerBegun) completed else begun

    private operator fun SoundFingerprints.contains(fingerprint: Fingerprint): Boolean = contains(fingerprint, nowMs())

    private fun addLosses(losses: List<SharedLoss>, source: String) {
        val now = nowMs()
        for (loss in losses) {
            val before = register.standing(loss.fingerprint, now)
            val recorded = EndpointLoss(loss.endpoint, now - loss.ageMs, loss.request, loss.answerBegun)
            register = register.withLoss(loss.fingerprint, recorded)
            val after = register.standing(loss.fingerprint, now)
            if (after == before || after != Standing.BLAMED) continue
            log.write(
                Event.REQUESTS_QUARANTINED,
                "fingerprint" to loss.fingerprint,
                "endpoints" to register.losses[loss.fingerprint]?.map { it.endpoint },
                "source" to source,
                "forMs" to register.blameRemainingMs(loss.fingerprint, now),
            )
        }
    }

    private fun clearEverywhere(fingerprints: ClearedFingerprints) {
        val cleared = clear(fingerprints)
        if (!cleared.isEmpty) exchange.tell(CrashNotice(begun = cleared.begun, completed = cleared.completed))
    }

    /** Removes the losses that are no longer held against [fingerprints]. Returns those that had any. */
    private fun clear(fingerprints: ClearedFingerprints) = ClearedFingerprints(
        begun = fingerprints.begun.filter { clear(it, CrashRegister::withoutLossesBeforeAnswer) },
        completed = fingerprints.completed.filter { clear(it, CrashRegister::without) },
    )

    /** Applies [removal] to [fingerprint] and returns true if it had losses to remove. */
    private fun clear(fingerprint: Fingerprint, removal: CrashRegister.(Fingerprint) -> CrashRegister): Boolean {
        val before = register
        if (fingerprint !in before.losses) return false
        val after = before.removal(fingerprint)
        if (after.losses[fingerprint] == before.losses[fingerprint]) return false
        register = after
        val wasBlamed = before.standing(fingerprint, nowMs()) == Standing.BLAMED
        if (wasBlamed && after.standing(fingerprint, nowMs()) != Standing.BLAMED) {
            log.write(Event.QUARANTINE_ENDED, "fingerprint" to fingerprint)
        }
        return true
    }

    /** A request is refused for [fingerprint] during the next [remainingMs] milliseconds. */
    data class Refusal(val fingerprint: Fingerprint, val remainingMs: Long)
}

/** A request that an endpoint did not finish; [answerBegun] is true when a part of the answer had arrived. */
internal class LostRequest(val fingerprints: RequestFingerprints, val answerBegun: Boolean)
