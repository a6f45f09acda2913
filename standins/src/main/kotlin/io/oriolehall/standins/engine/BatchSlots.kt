package io.oriolehall.standins.engine

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import java.util.PriorityQueue

/**
 * Places in an engine's batch. A sequence joins as soon as a place is free, without waiting for the others to finish;
 * higher priorities first, equal ones in order of arrival.
 */
internal class BatchSlots(private val size: Int) {
    private val waiting = PriorityQueue(compareByDescending(Waiter::priority).thenBy(Waiter::arrival))
    private var arrivals = 0L
    private var taken = 0

    /** Sequences in the batch. */
    @get:Synchronized
    val running: Int get() = taken

    /** Sequences that wait for a place. */
    @get:Synchronized
    val queued: Int get() = waiting.size

    /** Runs [sequence] in the batch. */
    suspend fun <T> use(priority: Int, sequence: suspend () -> T): T {
        join(priority)
        try {
            return sequence()
        } finally {
            leave()
        }
    }

    private suspend fun join(priority: Int) {
        val waiter = enqueue(priority) ?: return
        try {
            waiter.turn.await()
        } catch (e: CancellationException) {
            if (!giveUp(waiter)) leave()
            throw e
        }
    }

    @Synchronized
    private fun enqueue(priority: Int): Waiter? {
        if (taken < size) {
            taken++
            return null
        }
        return Waiter(priority, arrivals++).also(waiting::add)
    }

    @Synchronized
    private fun giveUp(waiter: Waiter): Boolean = waiting.remove(waiter)

    @Synchronized
    private fun leave() {
        val next = waiting.poll()
        if (next == null) taken-- else next.turn.complete(Unit)
    }

    private class Waiter(val priority: Int, val arrival: Long) {
        val turn = CompletableDeferred<Unit>()
    }
}
