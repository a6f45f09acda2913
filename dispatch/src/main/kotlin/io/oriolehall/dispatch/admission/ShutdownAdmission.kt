package io.oriolehall.dispatch.admission

/**
 * Decides which requests an instance still admits while it shuts down. The load balancer needs some time to notice the
 * shutdown, and keeps sending requests afterwards when it has no other instance. After that time a request is admitted
 * only if its deadline is before the exit of the process.
 *
 * All times are monotonic milliseconds.
 *
 * @param stopRequestedAtMs when the shutdown was requested.
 * @param exitAtMs when the process ends.
 */
class ShutdownAdmission(private val stopRequestedAtMs: Long, private val exitAtMs: Long) {
    /** True when a request that arrived at [arrivedAtMs] and may run until [deadlineAtMs] is admitted. */
    fun admits(arrivedAtMs: Long, deadlineAtMs: Long): Boolean =
        arrivedAtMs - stopRequestedAtMs <= BALANCER_DETECTION_MS || deadlineAtMs <= exitAtMs

    private companion object {
        /**
         * The load balancer checks readiness once a second and removes an instance after two failed checks; the
         * remainder covers network delay.
         */
        const val BALANCER_DETECTION_MS = 2_800L
    }
}
