package io.oriolehall.entry.keys

import io.oriolehall.runtime.TimerService

/** Wall clock that never goes back: the wall clock at the start, moved on by the monotonic clock. */
internal class KeyClock(private val timers: TimerService) {
    private val offsetMs = timers.wallClockMs() - timers.nowMs()

    /** Milliseconds since the epoch. */
    fun nowMs(): Long = timers.nowMs() + offsetMs
}
