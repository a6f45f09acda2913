package io.oriolehall.harness.benchmark

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** Processor time and memory of a process, as the operating system counts them. */
internal class ProcessMeter(private val pid: Long) {
    private val handle = ProcessHandle.of(pid).orElseThrow()

    /** Processor time so far, milliseconds. */
    fun processorMs(): Double =
        handle.info().totalCpuDuration().orElseThrow().toNanos().toDouble() / TimeUnit.MILLISECONDS.toNanos(1)

    /** Resident memory now, megabytes. */
    fun residentMb(): Double = statusKb("VmRSS") / KB_PER_MB

    private fun statusKb(field: String): Double = Files.readAllLines(Path.of("/proc/$pid/status"))
        .first { it.startsWith("$field:") }
        .filter(Char::isDigit)
        .toDouble()

    private companion object {
        const val KB_PER_MB = 1024.0
    }
}
