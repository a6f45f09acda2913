package io.oriolehall.policy.quarantine

/**
 * Fingerprints that endpoints have answered lately, kept for one to two periods after the last answer. When a period's
 * limit is reached, it ends early. Not thread-safe.
 *
 * @param periodMs length of a period, milliseconds.
 */
class SoundFingerprints(private val periodMs: Long = 30_000, private val maxPerPeriod: Int = 10_000) {
    private var current = HashSet<Fingerprint>()
    private var previous = HashSet<Fingerprint>()
    private var periodStartedAtMs = 0L

    fun add(fingerprint: Fingerprint, nowMs: Long) {
        endPeriods(nowMs)
        current += fingerprint
    }

    fun contains(fingerprint: Fingerprint, nowMs: Long): Boolean {
        endPeriods(nowMs)
        return fingerprint in current || fingerprint in previous
    }

    private fun endPeriods(nowMs: Long) {
        val elapsedMs = nowMs - periodStartedAtMs
        if (elapsedMs < periodMs && current.size < maxPerPeriod) return
        previous = if (elapsedMs < 2 * periodMs) current else HashSet()
        current = HashSet()
        periodStartedAtMs = nowMs
    }
}
