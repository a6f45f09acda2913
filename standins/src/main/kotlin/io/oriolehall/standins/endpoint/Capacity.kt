package io.oriolehall.standins.endpoint

import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** How much an endpoint bears now, and how much runs on it. */
internal class Capacity(private val options: EndpointOptions, private val nowMs: () -> Long) {
    private val runningCalls = AtomicInteger()
    private val coldSinceMs = AtomicLong(nowMs())
    private val callsSinceCold = AtomicInteger()

    /** Calls that run now. */
    val running: Int get() = runningCalls.get()

    val warm: Boolean get() = nowMs() - coldSinceMs.get() >= options.coldMs || warmByCalls()

    /** Calls at once that the endpoint bears now. */
    val limit: Int get() = if (warm) options.warmLimit else options.coldLimit

    /** How many times slower than a warm, unburdened endpoint it is now. */
    val slowdown: Double get() {
        val burden = (running.toDouble() / limit).coerceAtLeast(1.0)
        return if (warm) burden else burden * options.coldFactor
    }

    /** Makes the endpoint cold again. */
    fun turnCold() {
        callsSinceCold.set(0)
        coldSinceMs.set(nowMs())
    }

    /** Counts a call in and returns how many run now. */
    fun enter(): Int = runningCalls.incrementAndGet()

    fun leave() {
        runningCalls.decrementAndGet()
        callsSinceCold.incrementAndGet()
    }

    private fun warmByCalls() = options.warmAfterCalls > 0 && callsSinceCold.get() >= options.warmAfterCalls
}
