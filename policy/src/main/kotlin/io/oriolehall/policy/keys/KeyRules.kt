package io.oriolehall.policy.keys

/**
 * Time limits of idempotency keys, milliseconds. All instances must use the same values.
 *
 * @property lifetimeMs age after which a key is no longer accepted; holders and witnesses keep their records of a key
 *   up to this age.
 * @property clockToleranceMs maximum difference between the clocks of two instances, and how far in the future the
 *   creation time of a key may lie.
 */
data class KeyRules(val lifetimeMs: Long = 600_000, val clockToleranceMs: Long = 5_000) {
    /**
     * Time after the start of a witness during which it cannot confirm that it has not granted a new key before. The
     * previous process with the same ID, whose clock may have been one tolerance ahead, may have granted a key whose
     * creation time lay one more tolerance in the future.
     */
    val recoveryWindowMs: Long get() = 2 * clockToleranceMs

    fun expired(bornAtMs: Long, nowMs: Long): Boolean = nowMs - bornAtMs > lifetimeMs

    fun premature(bornAtMs: Long, nowMs: Long): Boolean = bornAtMs > nowMs + clockToleranceMs
}
