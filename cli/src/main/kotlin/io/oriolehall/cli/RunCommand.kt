package io.oriolehall.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import io.oriolehall.entry.EntryAddresses
import io.oriolehall.entry.EntryInstance
import io.oriolehall.model.WireJson
import io.oriolehall.model.settings.EntrySettings
import io.oriolehall.model.settings.EntrySettingsFile
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.Serializable
import java.nio.file.Path

/** The line that `oriolehall run` prints on its standard output once it listens. */
@Serializable
internal data class InstanceReadyLine(
    val ready: Boolean,
    val id: String,
    val address: String,
    val operators: String,
    val peers: String,
)

/** Runs an entry instance until it is terminated. */
internal class RunCommand : CliktCommand(name = "run") {
    private val settings by option("--settings", help = "INI file of the instance").path().required()

    override fun help(context: Context) = "Runs an entry instance until SIGTERM or SIGINT."

    override fun run() {
        val read = readSettings(settings)
        boundThreads()
        keepListenersUntilStopped()
        val instance = EntryInstance(read)
        runBlocking {
            val addresses = instance.start()
            Runtime.getRuntime().addShutdownHook(Thread({ runBlocking { instance.stop() } }, "stop"))
            echo(readyLine(read, addresses))
            awaitCancellation()
        }
    }

    /**
     * A token passes many short coroutines on its way. Few threads hand them on without waking one another; a value
     * that the operator has set stays.
     */
    private fun boundThreads() {
        System.getProperties().putIfAbsent(IO_PARALLELISM_PROPERTY, IO_PARALLELISM)
        System.getProperties().putIfAbsent(CORE_POOL_PROPERTY, CORE_POOL)
    }

    /**
     * The HTTP server would close its listeners at the signal by a shutdown hook of its own, beside the graceful stop,
     * which closes them when nothing is left.
     */
    private fun keepListenersUntilStopped() {
        System.setProperty(SERVER_HOOK_PROPERTY, "false")
    }

    private fun readyLine(settings: EntrySettings, addresses: EntryAddresses): String {
        val line = InstanceReadyLine(
            ready = true,
            id = settings.instance.id.value,
            address = addresses.callers.toString(),
            operators = addresses.operators.toString(),
            peers = addresses.peers.toString(),
        )
        return WireJson.encodeToString(InstanceReadyLine.serializer(), line)
    }

    private companion object {
        const val IO_PARALLELISM_PROPERTY = "kotlinx.coroutines.io.parallelism"
        const val SERVER_HOOK_PROPERTY = "io.ktor.server.engine.ShutdownHook"
        const val CORE_POOL_PROPERTY = "kotlinx.coroutines.scheduler.core.pool.size"

        /** Threads that may block: four selectors of the listeners and clients, and some beside them. */
        const val IO_PARALLELISM = "12"
        const val CORE_POOL = "2"
    }
}

/** The settings in [file]; when they are wrong, prints each error and ends the command. */
internal fun CliktCommand.readSettings(file: Path): EntrySettings {
    val settings = EntrySettingsFile.read(file)
    if (settings.isErr) {
        settings.error.forEach { echo(it.message, err = true) }
        throw ProgramResult(ExitCode.BAD_INPUT)
    }
    return settings.value
}
