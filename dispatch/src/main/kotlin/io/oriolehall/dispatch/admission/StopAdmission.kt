package io.oriolehall.dispatch.admission

/**
 * Decides which requests a stopping instance still takes. The balancer needs a while to notice that the instance
 * leaves, and sends on when it has nobody else; what comes after that while is taken only if it ends before the process
 * does.
 *
 * All times are monotonic milliseconds.
 *
 * @param sinceMs when the instance was told to stop.
 * @param untilMs when the process ends.
 */
class StopAdmission(private val sinceMs: Long, private val untilMs: Long) {
    /** True when a request that came at [arrivedAtMs] and may last until [deadlineAtMs] is taken. */
    fun admits(arrivedAtMs: Long, deadlineAtMs: Long): Boolean =
        arrivedAtMs - sinceMs <= UNNOTICED_MS || deadlineAtMs <= untilMs

    private companion object {
        /** The balancer asks once a second and takes an instance out after two misses; the rest is for the way. */
        const val UNNOTICED_MS = 2_800L
    }
}
