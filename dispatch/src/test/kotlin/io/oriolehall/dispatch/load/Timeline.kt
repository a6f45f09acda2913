package io.oriolehall.dispatch.load

import java.util.PriorityQueue

/** Simulated time: actions in the order of their times, milliseconds. */
internal class Timeline {
    private class Planned(val atMs: Long, val number: Long, val action: () -> Unit)

    private val planned = PriorityQueue<Planned>(compareBy(Planned::atMs, Planned::number))
    private var number = 0L

    var nowMs = 0L
        private set

    fun after(delayMs: Long, action: () -> Unit) {
        planned += Planned(nowMs + delayMs, number++, action)
    }

    /** Plays everything that is planned until [untilMs]. */
    fun run(untilMs: Long) {
        while (true) {
            val next = planned.peek()?.takeIf { it.atMs <= untilMs } ?: return
            planned.remove()
            nowMs = next.atMs
            next.action()
        }
    }
}
