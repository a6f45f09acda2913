package io.oriolehall.policy.quarantine

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** Quarantine status of a request, or of a part that requests share, determined by its fingerprint. */
enum class Standing {
    /** No endpoint losses are recorded for it, or they have expired. */
    CLEAR,

    /**
     * One endpoint terminated while it ran this request, but a concurrent request may have been the cause. The next run
     * is at an endpoint where no other suspect is running.
     */
    SUSPECT,

    /** A second endpoint terminated while it ran this request, or another one with this part. Requests are refused. */
    BLAMED,
}

/**
 * Endpoint losses by fingerprint. Immutable: each change returns a new register.
 *
 * A request is blamed after two losses before its answer had begun, or after three at any time. A part that requests
 * share is blamed after two losses before an answer, or after five at any time, but only if they were under different
 * requests, because one request may crash endpoints for a reason of its own, and only if they did not all happen at
 * once, because endpoints that terminate together have another cause.
 *
 * @property suspectMs how long a request or part remains a suspect, milliseconds.
 * @property blameMs how long a blamed request or part is refused, milliseconds.
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
            isBlamed(fingerprint, recorded) -> if (age < blameMs) Standing.BLAMED else Standing.CLEAR
            else -> if (age < suspectMs) Standing.SUSPECT else Standing.CLEAR
        }
    }

    /** Milliseconds after [nowMs] until a blamed [fingerprint] is no longer refused. */
    fun blameRemainingMs(fingerprint: Fingerprint, nowMs: Long): Long =
        losses[fingerprint]?.lastOrNull()?.let { maxOf(0, it.atMs + blameMs - nowMs) } ?: 0

    /**
     * Returns which of [fingerprints], all those of one request, is the reason to refuse it, or null. Parts that were
     * in all the same losses cannot be told apart. A request that has only some of them is not refused, because its
     * outcome tells which part is the cause.
     */
    fun reasonToRefuse(fingerprints: Collection<Fingerprint>, nowMs: Long): Fingerprint? = fingerprints.firstOrNull {
        standing(it, nowMs) == Standing.BLAMED && fingerprints.containsAll(inseparableFrom(it, nowMs))
    }

    /**
     * This register with [loss] added. Losses of one endpoint at about the same time count as a single loss, which is
     * the strongest one.
     */
    fun withLoss(fingerprint: Fingerprint, loss: EndpointLoss): CrashRegister {
        val existing = losses[fingerprint].orEmpty()
        val same = existing.find { it.isSameAs(loss) }
        if (same != null && (loss.answerBegun || !same.answerBegun)) return this
        val kept = (existing - setOfNotNull(same) + loss).sortedBy(EndpointLoss::atMs).takeLast(MAX_LOSSES)
        return copy(losses = losses.put(fingerprint, kept)).bounded()
    }

    /** This register after the request of [fingerprint] completed: a suspect is removed, a blamed request is kept. */
    fun withoutSuspect(fingerprint: Fingerprint): CrashRegister =
        if (isBlamed(fingerprint, losses[fingerprint].orEmpty())) this else without(fingerprint)

    /** This register without the losses of [fingerprint] before an answer had begun. */
    fun withoutLossesBeforeAnswer(fingerprint: Fingerprint): CrashRegister {
        val kept = losses[fingerprint].orEmpty().filter(EndpointLoss::answerBegun)
        return if (kept.isEmpty()) without(fingerprint) else copy(losses = losses.put(fingerprint, kept))
    }

    /** This register without the losses of [fingerprint]. */
    fun without(fingerprint: Fingerprint): CrashRegister = copy(losses = losses.remove(fingerprint))

    /** This register without expired entries. */
    fun withoutExpired(nowMs: Long): CrashRegister {
        val expiredFingerprints = losses.keys.filter { standing(it, nowMs) == Standing.CLEAR }
        if (expiredFingerprints.isEmpty()) return this
        return copy(losses = expiredFingerprints.fold(losses) { map, fingerprint -> map.remove(fingerprint) })
    }

    private fun isBlamed(fingerprint: Fingerprint, recorded: List<EndpointLoss>): Boolean {
        val isRequest = recorded.any { it.request == fingerprint }
        val beforeAnswer = recorded.count { !it.answerBegun }
        val enough = beforeAnswer >= LOSSES_BEFORE_ANSWER_TO_BLAME ||
            recorded.size >= if (isRequest) LOSSES_TO_BLAME_REQUEST else LOSSES_TO_BLAME_PART
        return enough && (isRequest || haveNothingElseInCommon(recorded))
    }

    private fun haveNothingElseInCommon(recorded: List<EndpointLoss>): Boolean =
        recorded.distinctBy(EndpointLoss::request).size >= REQUESTS_TO_BLAME &&
            recorded.last().atMs - recorded.first().atMs >= MIN_SPAN_MS

    private fun inseparableFrom(blamed: Fingerprint, nowMs: Long): Set<Fingerprint> {
        val endpoints = losses.getValue(blamed).map(EndpointLoss::endpoint)
        return losses.filter { (other, recorded) ->
            recorded.none { it.request == other } &&
                recorded.map(EndpointLoss::endpoint) == endpoints &&
                standing(other, nowMs) == Standing.BLAMED
        }.keys
    }

    private fun bounded(): CrashRegister {
        if (losses.size <= MAX_FINGERPRINTS) return this
        val oldest = losses.minBy { (_, recorded) -> recorded.last().atMs }.key
        return copy(losses = losses.remove(oldest))
    }

    private companion object {
        const val LOSSES_BEFORE_ANSWER_TO_BLAME = 2
        const val LOSSES_TO_BLAME_REQUEST = 3
        const val LOSSES_TO_BLAME_PART = 5
        const val REQUESTS_TO_BLAME = 2

        /** Losses of a shared part that all lie within this time count as one, milliseconds. */
        const val MIN_SPAN_MS = 200L
        const val MAX_LOSSES = 8
        const val MAX_FINGERPRINTS = 10_000
    }
}
