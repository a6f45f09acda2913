package io.oriolehall.policy.limits

/** The simple way: each of the live instances takes an equal part of the limit, and at least one. */
object EqualSplit {
    /** Calls that one of [instances] instances may have running. */
    fun share(limit: Int, instances: Int): Int = maxOf(1, limit / maxOf(1, instances))
}
