package io.oriolehall.runtime

/*
 * Clocks and timers for the control state. Components schedule their actions here instead of calling delay, so that
 * every periodic action runs on the control thread and tests can drive all of them with one virtual clock.
 */

/** Handle of a scheduled action. */
fun interface Subscription {
    /** Cancels the action. Further calls have no effect. */
    fun cancel()
}

/** Clocks and periodic or delayed actions. All actions run one at a time on the control thread. */
interface TimerService {
    /** Monotonic time in milliseconds. It keeps advancing while the process is paused. */
    fun nowMs(): Long

    /** Wall-clock time of this machine in milliseconds since the epoch. */
    fun wallClockMs(): Long

    /**
     * Runs [action] repeatedly, waiting [periodMs] milliseconds before each run. If the action throws, the exception is
     * logged and the action runs again after the next wait.
     *
     * @param jitter share of the period, from 0 to 1, by which each wait is randomly shortened or extended.
     */
    fun every(name: String, periodMs: Long, jitter: Double = 0.0, action: suspend () -> Unit): Subscription

    /** Runs [action] once after [delayMs] milliseconds. If it throws, the exception is logged. */
    fun after(name: String, delayMs: Long, action: suspend () -> Unit): Subscription
}
