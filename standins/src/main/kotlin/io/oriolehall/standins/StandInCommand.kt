package io.oriolehall.standins

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.options.RawOption
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import io.oriolehall.model.NetworkAddress
import io.oriolehall.runtime.Event
import io.oriolehall.runtime.StructuredEventLog
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking

/** Base of the stand-ins' commands: starts, announces itself and runs until it is terminated. */
abstract class StandInCommand(name: String) : CliktCommand(name) {
    private val log = StructuredEventLog("oriolehall.standins")

    /** Where the stand-in is driven. */
    protected val control by option(help = "control listener, host:port").listenAddress()

    final override fun run() = runBlocking {
        val line = start()
        log.write(Event.STANDIN_STARTED, "id" to line.id, "address" to line.address, "control" to line.control)
        echo(line.toJson())
        awaitCancellation()
    }

    /** Starts serving and says where. */
    protected abstract suspend fun start(): ReadyLine
}

private const val MAX_PORT = 65_535
private val AnyPort = NetworkAddress("127.0.0.1", 0)

/** An option `host:port` whose port may be 0, which takes a free one. */
internal fun RawOption.listenAddress() = convert { text ->
    val port = text.substringAfterLast(':').toIntOrNull()
    if (port == null || port !in 0..MAX_PORT) throw UsageError("$text is not host:port; write for example $AnyPort")
    NetworkAddress(text.substringBeforeLast(':'), port)
}.default(AnyPort, defaultForHelp = AnyPort.toString())
