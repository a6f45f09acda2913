package io.oriolehall.standins.weights

import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import io.oriolehall.standins.ReadyLine
import io.oriolehall.standins.StandInCommand
import io.oriolehall.standins.listenAddress
import io.oriolehall.standins.listenHttp

/** Runs the weight store: models' weights at a limited rate over all readers. */
internal class WeightStoreCommand : StandInCommand("weights") {
    private val id by option(help = "name in the ready line").default("weights")
    private val listen by option(help = "where engines fetch, host:port").listenAddress()
    private val bytesPerSecond by option(help = "rate over all fetches").long().default(BYTES_PER_SECOND)
    private val modelBytes by option(help = "size of one model version").int().default(MODEL_BYTES)

    override suspend fun start(): ReadyLine {
        val store = WeightStore(bytesPerSecond, modelBytes)
        val address = listenHttp(listen) { weightRoutes(store) }
        val controlAddress = listenHttp(control) { weightControlRoutes(store) }
        return ReadyLine(id = id, address = address.toString(), control = controlAddress.toString())
    }

    private companion object {
        const val BYTES_PER_SECOND = 8L * 1024 * 1024
        const val MODEL_BYTES = 1024 * 1024
    }
}
