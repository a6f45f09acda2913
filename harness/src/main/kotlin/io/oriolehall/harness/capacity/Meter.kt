package io.oriolehall.harness.capacity

import java.lang.management.ManagementFactory

/** Processor time and memory of work done in this thread. */
internal object Meter {
    private const val NANOS_PER_MS = 1_000_000.0
    private const val COLLECTIONS = 3
    private val threads = ManagementFactory.getThreadMXBean()
    private val memory = ManagementFactory.getMemoryMXBean()

    /** Processor time that [work] took in this thread, milliseconds; other load on the machine hardly counts. */
    fun cpuMs(work: () -> Unit): Double {
        val before = threads.currentThreadCpuTime
        work()
        return (threads.currentThreadCpuTime - before) / NANOS_PER_MS
    }

    /** Bytes of heap that become free when the result of [build] is let go; [build] keeps no reference to it. */
    fun keptBytes(build: () -> Any): Double {
        var kept: Any? = build()
        val held = used()
        check(kept != null) { "the result is kept until here" }
        kept = null
        return (held - used()).toDouble()
    }

    private fun used(): Long {
        repeat(COLLECTIONS) { System.gc() }
        return memory.heapMemoryUsage.used
    }
}

/**
 * Runs [probe] at each of [sizes] and fits a line through each quantity that it gives. A first run at the smallest size
 * does not count: it loads classes and fills caches.
 */
internal fun measure(
    mechanism: String,
    variable: String,
    sizes: List<Int>,
    probe: (Int) -> List<Quantity>,
): List<Series> {
    probe(sizes.first())
    val bySize = sizes.associateWith(probe)
    val names = bySize.values.first().map { it.name to it.unit }
    return names.map { (name, unit) ->
        val points = bySize.map { (size, values) -> Point(size, values.first { it.name == name }.value) }
        Series(mechanism, name, variable, unit, points)
    }
}

/** A value that a probe measured. */
internal data class Quantity(val name: String, val unit: String, val value: Double)
