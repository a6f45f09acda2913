package io.oriolehall.harness.process

import io.oriolehall.model.WireJson
import java.io.File
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import kotlin.concurrent.thread

/** What to start: a main class on this process's own class path. */
data class ProgramSpec(
    val id: String,
    val mainClass: String,
    val arguments: List<String>,
    val heapMb: Int = 64,
    val environment: Map<String, String> = emptyMap(),
    val jvmOptions: List<String> = QuickStart,
) {
    companion object {
        /** Options that start many processes quickly and compile little. */
        val QuickStart = listOf("-XX:TieredStopAtLevel=1", "-XX:CICompilerCount=1")
    }
}

/**
 * Starts Java processes and ends all of them when it is closed, at the latest when this process ends. Their output
 * goes to files in [outputDirectory].
 */
class ProcessLauncher(private val outputDirectory: Path) : AutoCloseable {
    private val started = CopyOnWriteArrayList<Process>()
    private val endAll = Thread({ started.forEach(Process::destroyForcibly) }, "end-processes")

    init {
        Files.createDirectories(outputDirectory)
        Runtime.getRuntime().addShutdownHook(endAll)
    }

    /** Starts [program] and waits until it has printed its ready line. */
    fun launch(program: ProgramSpec): LaunchedProcess {
        val errorLog = outputDirectory.resolve("${program.id}.err")
        val builder = ProcessBuilder(commandOf(program))
            .redirectInput(ProcessBuilder.Redirect.from(NullDevice))
            .redirectError(ProcessBuilder.Redirect.appendTo(errorLog.toFile()))
        builder.environment() += program.environment
        val process = builder.start()
        started += process
        return LaunchedProcess(program.id, process, awaitReady(program, process, errorLog), errorLog)
    }

    override fun close() {
        started.forEach(Process::destroyForcibly)
        started.forEach { it.waitFor(EXIT_WAIT_S, TimeUnit.SECONDS) }
        if (!Thread.currentThread().name.startsWith("end-")) Runtime.getRuntime().removeShutdownHook(endAll)
    }

    private fun commandOf(program: ProgramSpec) = listOf(
        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
        "-Xmx${program.heapMb}m",
        "-XX:+UseSerialGC",
        "-XX:+ExitOnOutOfMemoryError",
        "-Xshare:auto",
    ) + program.jvmOptions + listOf(
        "-cp",
        System.getProperty("java.class.path"),
        program.mainClass,
    ) + program.arguments

    private fun awaitReady(program: ProgramSpec, process: Process, errorLog: Path): ReadyLine {
        val line = CompletableFuture<ReadyLine>()
        val output = outputDirectory.resolve("${program.id}.out")
        thread(isDaemon = true, name = "output-${program.id}") { copyOutput(process, output, line) }
        return try {
            line.get(READY_WAIT_S, TimeUnit.SECONDS)
        } catch (e: TimeoutException) {
            process.destroyForcibly()
            error("${program.id} was not ready within $READY_WAIT_S s; see $errorLog")
        } catch (e: ExecutionException) {
            process.destroyForcibly()
            error("${program.id} ended before it was ready: ${lastLines(errorLog)}")
        }
    }

    private fun copyOutput(process: Process, output: Path, ready: CompletableFuture<ReadyLine>) {
        Files.newBufferedWriter(output).use { writer ->
            process.inputStream.bufferedReader().forEachLine { line ->
                writer.appendLine(line)
                writer.flush()
                if (!ready.isDone && line.startsWith("{")) {
                    ready.complete(WireJson.decodeFromString(ReadyLine.serializer(), line))
                }
            }
        }
        ready.completeExceptionally(IllegalStateException("output ended"))
    }

    private fun lastLines(file: Path): String =
        if (Files.exists(file)) Files.readAllLines(file).takeLast(SHOWN_LINES).joinToString("\n") else "no output"

    private companion object {
        val NullDevice = File("/dev/null")
        const val READY_WAIT_S = 60L
        const val EXIT_WAIT_S = 10L
        const val SHOWN_LINES = 20
    }
}
