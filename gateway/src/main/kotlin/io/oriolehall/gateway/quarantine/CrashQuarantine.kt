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
 * that had no answer from it yet and to the parts of their prompts, except what endpoints have lately answered, and
 * exchanges what it learns with the other instances. Used on the traffic thread only.
 */
internal class CrashQuarantine(
    private val exchange: CrashExchange,
    private val log: EventLog,
    private val nowMs: () -> Long = TrafficLoop::nowMs,
) {
    private var register = CrashRegister()
    private val sound = SoundFingerprints()

    /** The losses that this instance knows, with their ages. */
    fun known(): List<SharedLoss> = register.losses.flatMap { (fingerprint, losses) ->
        losses.map { SharedLoss(fingerprint, it.endpoint, it.request, nowMs() - it.atMs) }
    }

    /** Returns why the request with [fingerprints] is refused, or null if it may run. */
    fun refusal(fingerprints: RequestFingerprints): Refusal? {
        if (register.losses.isEmpty()) return null
        val reason = register.reasonToRefuse(fingerprints.all, nowMs()) ?: return null
        return Refusal(reason, register.blameRemainingMs(reason, nowMs()))
    }

    /** Records that [endpoint] ended before it answered the request with [fingerprints]. */
    fun onEndpointEnded(fingerprints: RequestFingerprints, endpoint: EndpointId) {
        val suspects = fingerprints.all.filterNot { sound.contains(it, nowMs()) }
        val losses = suspects.map { SharedLoss(it, endpoint, fingerprints.request, ageMs = 0) }
        addLosses(losses, "this instance")
        exchange.tell(CrashNotice(losses), onSound = ::clearEverywhere)
    }

    /** Records that an endpoint has begun to answer the request with [fingerprints]. */
    fun onAnswerBegun(fingerprints: RequestFingerprints) {
        fingerprints.all.forEach { sound.add(it, nowMs()) }
        clearEverywhere(fingerprints.all)
    }

    /**
     * Takes what another instance tells. Returns the fingerprints that it suspects and that have been answered here.
     * What others have seen answered does not enter [sound], or instances would confirm it to each other without end.
     */
    fun onNotice(notice: CrashNotice): List<Fingerprint> {
        clear(notice.sound)
        addLosses(notice.losses, "another instance")
        return notice.losses.map(SharedLoss::fingerprint).filter { sound.contains(it, nowMs()) }.distinct()
    }

    fun removeExpired() {
        register = register.withoutExpired(nowMs())
    }

    private fun addLosses(losses: List<SharedLoss>, source: String) {
        val now = nowMs()
        for (loss in losses.filterNot { sound.contains(it.fingerprint, now) }) {
            val before = register.standing(loss.fingerprint, now)
            register = register.withLoss(loss.fingerprint, EndpointLoss(loss.endpoint, now - loss.ageMs, loss.request))
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

    private fun clearEverywhere(fingerprints: List<Fingerprint>) {
        val cleared = clear(fingerprints)
        if (cleared.isNotEmpty()) exchange.tell(CrashNotice(sound = cleared))
    }

    /** Removes the losses of [fingerprints]. Returns those that had any. */
    private fun clear(fingerprints: List<Fingerprint>): List<Fingerprint> {
        val known = fingerprints.filter { it in register.losses }
        for (fingerprint in known) {
            if (register.standing(fingerprint, nowMs()) == Standing.BLAMED) {
                log.write(Event.QUARANTINE_ENDED, "fingerprint" to fingerprint)
            }
            register = register.without(fingerprint)
        }
        return known
    }

    /** A request is refused for [fingerprint] during the next [remainingMs] milliseconds. */
    data class Refusal(val fingerprint: Fingerprint, val remainingMs: Long)
}
