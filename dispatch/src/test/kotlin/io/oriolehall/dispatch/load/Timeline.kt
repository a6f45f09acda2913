package io.oriolehall.dispatch.load

import java.util.PriorityQueue

/** Event queue of a simulation: runs actions in order of their simulated times, milliseconds. */
internal class Timeline {
    private class ScheduledAction(val atMs: Long, val sequence: Long, val action: () -> Unit)

    private val scheduled = PriorityQueue<ScheduledAction>(compareBy(ScheduledAction::atMs, ScheduledAction::sequence))
    private var sequence = 0L

    var nowMs = 0L
        private set

    fun schedule(delayMs: Long, action: () -> Unit) {
        scheduled += ScheduledAction(nowMs + delayMs, sequence++, action)
    }

    /** Runs all actions that are due by [untilMs]. */
    fun run(untilMs: Long) {
        while (true) {
            val next = scheduled.peek()?.takeIf { it.atMs <= untilMs } ?: return
            scheduled.remove()
            nowMs = next.atMs
            next.action()
        }
    }
}
