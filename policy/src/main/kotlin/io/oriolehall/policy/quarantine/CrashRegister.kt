package io.oriolehall.policy.quarantine

import io.oriolehall.model.EndpointId
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** An endpoint that terminated while it ran a request; [atMs] is the local monotonic time, milliseconds. */
data class EndpointLoss(val endpoint: EndpointId, val atMs: Long)

/** Quarantine status of a request, determined by its fingerprint. */
enum class Standing {
    /** No endpoint losses are recorded for it, or they have expired. */
    CLEAR,

    /**
     * One endpoint terminated while it ran this request, but a concurrent request may have been the cause. The next run
     * is at an endpoint where no other suspect is running.
     */
    SUSPECT,

    /** A second endpoint terminated while it ran this request as its only suspect. The request is refused. */
    BLAMED,
}

/**
 * Endpoint losses by request fingerprint. Immutable: each change returns a new register.
 *
 * @property suspectMs how long a request remains a suspect, milliseconds.
 * @property blameMs how long a blamed request is refused, milliseconds.
 */
data class CrashRegister(
    val losses: PersistentMap<Fingerprint, List<EndpointLoss>> = persistentMapOf(),
    val suspectMs: Long = 60_000,
    val blameMs: Long = 600_000,
) {
    /** Returns the status of [fingerprint] at [nowMs]. */
    fun standing(fingerprint: Fingerprint, nowMs: Long): Standing {
        val recorded = losses[fingerprint].orEmpty()
        val newest = recorded.lastOrNull() ?: return Standing.CLEAR
        val age = nowMs - newest.atMs
        return when {
            recorded.size >= LOSSES_TO_BLAME -> if (age < blameMs) Standing.BLAMED else Standing.CLEAR
            else -> if (age < suspectMs) Standing.SUSPECT else Standing.CLEAR
        }
    }

    /** This register with [loss] added; losses of one endpoint at about the same time count as a single loss. */
    fun withLoss(fingerprint: Fingerprint, loss: EndpointLoss): CrashRegister {
        val existing = losses[fingerprint].orEmpty()
        if (existing.any { it.isSameAs(loss) }) return this
        val kept = (existing + loss).sortedBy(EndpointLoss::atMs).takeLast(LOSSES_TO_BLAME)
        return copy(losses = losses.put(fingerprint, kept)).bounded()
    }

    /** This register after the request of [fingerprint] completed: a suspect is removed, a blamed request is kept. */
    fun withoutSuspect(fingerprint: Fingerprint): CrashRegister {
        if (losses[fingerprint].orEmpty().size >= LOSSES_TO_BLAME) return this
        return copy(losses = losses.remove(fingerprint))
    }

    /** This register without expired entries. */
    fun withoutExpired(nowMs: Long): CrashRegister {
        val expiredFingerprints = losses.keys.filter { standing(it, nowMs) == Standing.CLEAR }
        if (expiredFingerprints.isEmpty()) return this
        return copy(losses = expiredFingerprints.fold(losses) { map, fingerprint -> map.remove(fingerprint) })
    }

    private fun bounded(): CrashRegister {
        if (losses.size <= MAX_FINGERPRINTS) return this
        val oldest = losses.minBy { (_, recorded) -> recorded.last().atMs }.key
        return copy(losses = losses.remove(oldest))
    }

    private fun EndpointLoss.isSameAs(other: EndpointLoss): Boolean =
        endpoint == other.endpoint && Math.abs(atMs - other.atMs) < SAME_LOSS_WINDOW_MS

    private companion object {
        const val LOSSES_TO_BLAME = 2
        const val SAME_LOSS_WINDOW_MS = 1_000L
        const val MAX_FINGERPRINTS = 10_000
    }
}
