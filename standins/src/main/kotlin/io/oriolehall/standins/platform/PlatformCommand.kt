package io.oriolehall.standins.platform

import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import io.oriolehall.standins.ReadyLine
import io.oriolehall.standins.StandInCommand
import io.oriolehall.standins.listenAddress
import io.oriolehall.standins.listenHttp

/** Runs the configuration service and the instance list in one process. */
internal class PlatformCommand : StandInCommand("platform") {
    private val id by option(help = "name in the ready line").default("platform")
    private val listen by option(help = "where readers connect, host:port").listenAddress()
    private val readRate by option(help = "reads per second; more are answered 429").int().default(READS_PER_SECOND)
    private val listLagMs by option(help = "milliseconds before a new instance list is shown").long()
        .default(LIST_LAG_MS)

    override suspend fun start(): ReadyLine {
        val store = PlatformStore(listLagMs)
        val reads = ReadCounter(readRate)
        val address = listenHttp(listen) { platformRoutes(store, reads) }
        val controlAddress = listenHttp(control) { platformControlRoutes(store, reads) }
        return ReadyLine(id = id, address = address.toString(), control = controlAddress.toString())
    }

    private companion object {
        const val READS_PER_SECOND = 2_000
        const val LIST_LAG_MS = 1_000L
    }
}
