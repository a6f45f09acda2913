package io.oriolehall.runtime

/*
 * Time for the control state. Parts subscribe to the service instead of sleeping on their own, so that every periodic
 * action runs on the control thread, and so that a test can drive them all by one clock.
 */

/** Ends a subscription. */
fun interface Subscription {
    /** Stops further calls of the action. Calling it again does nothing. */
    fun cancel()
}

/** Clocks and periodic or delayed actions. All actions run one at a time on the control thread. */
interface TimerService {
    /** Monotonic time, milliseconds. It goes on while the process is paused. */
    fun nowMs(): Long

    /** Wall-clock time, milliseconds since the epoch, by this machine's clock. */
    fun wallClockMs(): Long

    /**
     * Runs [action] each [periodMs] milliseconds, first after one period. An action that throws is logged and runs
     * again at its next time.
     *
     * @param jitter share of the period, 0 to 1, by which each wait varies at random.
     */
    fun every(name: String, periodMs: Long, jitter: Double = 0.0, action: suspend () -> Unit): Subscription

    /** Runs [action] once after [delayMs] milliseconds. */
    fun after(name: String, delayMs: Long, action: suspend () -> Unit): Subscription
}
