package io.oriolehall.standins.weights

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.prepareGet
import io.ktor.client.statement.bodyAsChannel
import io.ktor.utils.io.readAvailable
import io.oriolehall.model.EngineOrder
import io.oriolehall.model.NetworkAddress

/** Fetches the weights that an order names from the weight store at [address]; without one it does nothing. */
internal class WeightClient(private val address: NetworkAddress?) {
    private val http by lazy { HttpClient(CIO) { engine { requestTimeout = 0 } } }

    /** Reads the weights of [order] to the end; there is nothing to keep. */
    suspend fun fetch(order: EngineOrder) {
        if (address == null) return
        http.prepareGet("http://$address/weights/${order.model}/${order.version}").execute { response ->
            val body = response.bodyAsChannel()
            val buffer = ByteArray(BUFFER_BYTES)
            while (body.readAvailable(buffer) >= 0) Unit
        }
    }

    private companion object {
        const val BUFFER_BYTES = 64 * 1024
    }
}
