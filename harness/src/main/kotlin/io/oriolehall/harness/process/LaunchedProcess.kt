package io.oriolehall.harness.process

import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** A process that the harness started. [errorLog] holds its standard error, where the event log goes. */
class LaunchedProcess internal constructor(
    val id: String,
    private val process: Process,
    val ready: ReadyLine,
    val errorLog: Path,
) {
    val pid: Long get() = process.pid()

    val alive: Boolean get() = process.isAlive

    /** Ends it at once, as by SIGKILL, and waits until it is gone. */
    fun kill() {
        process.destroyForcibly()
        process.waitFor(EXIT_WAIT_S, TimeUnit.SECONDS)
    }

    /** Asks it to stop, as by SIGTERM. */
    fun terminate() {
        process.destroy()
    }

    /** Waits until it has ended; null when it has not within [timeoutMs] milliseconds. */
    fun awaitExit(timeoutMs: Long): Int? =
        if (process.waitFor(timeoutMs, TimeUnit.MILLISECONDS)) process.exitValue() else null

    /** Stops it from running until [resume]. */
    fun pause() = signal("STOP")

    fun resume() = signal("CONT")

    private fun signal(name: String) {
        check(process.isAlive) { "$id (pid $pid) has ended" }
        val exit = ProcessBuilder("kill", "-$name", pid.toString()).inheritIO().start().waitFor()
        check(exit == 0) { "cannot send SIG$name to $id (pid $pid)" }
    }

    private companion object {
        const val EXIT_WAIT_S = 10L
    }
}
