package io.oriolehall.policy.quarantine

import io.oriolehall.model.EndpointId
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** An endpoint that ended while it ran a request; [atMs] is on the reader's monotonic clock, milliseconds. */
data class EndpointLoss(val endpoint: EndpointId, val atMs: Long)

/** How a request stands, by its fingerprint. */
enum class Standing {
    /** Nothing speaks against it. */
    CLEAR,

    /** One endpoint ended while it ran; it may have stood beside the cause. It runs next as the only suspect there. */
    SUSPECT,

    /** A second endpoint ended while it ran there as the only suspect. It is refused. */
    BLAMED,
}

/**
 * Endpoints lost by fingerprint. Immutable: each change returns a new register.
 *
 * @property suspectMs how long a suspicion is kept, milliseconds.
 * @property blameMs how long a request is refused, milliseconds.
 */
data class CrashRegister(
    val losses: PersistentMap<Fingerprint, List<EndpointLoss>> = persistentMapOf(),
    val suspectMs: Long = 60_000,
    val blameMs: Long = 600_000,
) {
    /** Standing of [fingerprint]. */
    fun standing(fingerprint: Fingerprint, nowMs: Long): Standing {
        val all = losses[fingerprint].orEmpty()
        val newest = all.lastOrNull() ?: return Standing.CLEAR
        val age = nowMs - newest.atMs
        return when {
            all.size >= LOSSES_TO_BLAME -> if (age < blameMs) Standing.BLAMED else Standing.CLEAR
            else -> if (age < suspectMs) Standing.SUSPECT else Standing.CLEAR
        }
    }

    /** This register with a loss added; a loss of the same endpoint at about the same time is the same one. */
    fun withLoss(fingerprint: Fingerprint, loss: EndpointLoss): CrashRegister {
        val known = losses[fingerprint].orEmpty()
        if (known.any { it.isSameAs(loss) }) return this
        val kept = (known + loss).sortedBy(EndpointLoss::atMs).takeLast(LOSSES_TO_BLAME)
        return copy(losses = losses.put(fingerprint, kept)).bounded()
    }

    /** This register without a suspicion against [fingerprint], which ran to its end. A blame stays. */
    fun cleared(fingerprint: Fingerprint): CrashRegister {
        if (losses[fingerprint].orEmpty().size >= LOSSES_TO_BLAME) return this
        return copy(losses = losses.remove(fingerprint))
    }

    /** This register without what has expired. */
    fun expired(nowMs: Long): CrashRegister {
        val old = losses.keys.filter { standing(it, nowMs) == Standing.CLEAR }
        if (old.isEmpty()) return this
        return copy(losses = old.fold(losses) { map, fingerprint -> map.remove(fingerprint) })
    }

    private fun bounded(): CrashRegister {
        if (losses.size <= MAX_FINGERPRINTS) return this
        val oldest = losses.minBy { (_, all) -> all.last().atMs }.key
        return copy(losses = losses.remove(oldest))
    }

    private fun EndpointLoss.isSameAs(other: EndpointLoss): Boolean =
        endpoint == other.endpoint && Math.abs(atMs - other.atMs) < SAME_LOSS_MS

    private companion object {
        const val LOSSES_TO_BLAME = 2
        const val SAME_LOSS_MS = 1_000L
        const val MAX_FINGERPRINTS = 10_000
    }
}
