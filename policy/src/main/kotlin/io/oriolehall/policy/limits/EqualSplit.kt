package io.oriolehall.policy.limits

/**
 * Splits the limit equally among the live instances, without leases. Each instance gets at least one call, so the total
 * exceeds a limit that is lower than the number of instances.
 */
object EqualSplit {
    /** Number of concurrent calls allowed to each of [instances] instances. */
    fun share(limit: Int, instances: Int): Int = maxOf(1, limit / maxOf(1, instances))
}
