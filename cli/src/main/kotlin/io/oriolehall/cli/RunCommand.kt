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

/** The line that `oriolehall run` prints to standard output once all its listeners are open. */
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
    private val settingsFile by option("--settings", help = "INI file of the instance").path().required()

    override fun help(context: Context) = "Runs an entry instance until SIGTERM or SIGINT."

    override fun run() {
        val settings = readSettings(settingsFile)
        limitDispatcherThreads()
        disableServerShutdownHook()
        val instance = EntryInstance(settings)
        runBlocking {
            val addresses = instance.start()
            Runtime.getRuntime().addShutdownHook(Thread({ runBlocking { instance.stop() } }, "stop"))
            echo(readyLine(settings, addresses))
            awaitCancellation()
        }
    }

    /**
     * Limits the threads of the coroutine dispatchers. Each token of an answer passes through many short coroutines,
     * and with few threads these run without wake-ups between threads. Values set by the operator take precedence.
     */
    private fun limitDispatcherThreads() {
        System.getProperties().putIfAbsent(IO_PARALLELISM_PROPERTY, IO_PARALLELISM)
        System.getProperties().putIfAbsent(CORE_POOL_SIZE_PROPERTY, CORE_POOL_SIZE)
    }

    /**
     * Disables the HTTP server's own shutdown hook, which would close the listeners as soon as the signal arrives. The
     * graceful stop closes them once no request is left.
     */
    private fun disableServerShutdownHook() {
        System.setProperty(SERVER_SHUTDOWN_HOOK_PROPERTY, "false")
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
        const val SERVER_SHUTDOWN_HOOK_PROPERTY = "io.ktor.server.engine.ShutdownHook"
        const val CORE_POOL_SIZE_PROPERTY = "kotlinx.coroutines.scheduler.core.pool.size"

        /** Maximum number of threads that may block: four selectors of the listeners and clients, and a reserve. */
        const val IO_PARALLELISM = "12"
        const val CORE_POOL_SIZE = "2"
    }
}

/** Reads the settings in [file]. If they are invalid, prints each error and ends the command. */
internal fun CliktCommand.readSettings(file: Path): EntrySettings {
    val settings = EntrySettingsFile.read(file)
    if (settings.isErr) {
        settings.error.forEach { echo(it.message, err = true) }
        throw ProgramResult(ExitCode.BAD_INPUT)
    }
    return settings.value
}
