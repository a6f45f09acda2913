package io.oriolehall.policy.keys

/**
 * Times that govern idempotency keys, milliseconds. All instances use the same ones.
 *
 * @property lifetimeMs age from which a key is no longer run, and up to which holders and witnesses remember it.
 * @property toleranceMs largest difference between the clocks of two instances, and the furthest in the future that a
 *   key's birth may lie.
 */
data class KeyRules(val lifetimeMs: Long = 600_000, val toleranceMs: Long = 5_000) {
    /**
     * Time after a witness's start whose keys it cannot vouch for. Its predecessor may have granted a key that was
     * born one tolerance in the future of a clock one tolerance ahead.
     */
    val blindMs: Long get() = 2 * toleranceMs

    fun expired(bornAtMs: Long, nowMs: Long): Boolean = nowMs - bornAtMs > lifetimeMs

    fun premature(bornAtMs: Long, nowMs: Long): Boolean = bornAtMs > nowMs + toleranceMs
}
