package io.oriolehall.entry.config

import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import io.ktor.http.isSuccess
import io.oriolehall.model.Instance
import io.oriolehall.model.InstanceId
import io.oriolehall.model.InstanceList
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.WireJson
import io.oriolehall.runtime.TimerService
import kotlinx.coroutines.CancellationException

/** The platform's list of instances as last read. The list lags; it is a hint where others may be found. */
class InstanceDirectory(
    private val http: HttpClient,
    private val service: NetworkAddress,
    private val timers: TimerService,
) {
    @Volatile
    private var list = InstanceList(asOfMs = NEVER, instances = emptyList())

    /** The instances of the newest list. */
    val instances: List<Instance> get() = list.instances

    /** True once a list has been read. */
    val known: Boolean get() = list.asOfMs != NEVER

    fun find(id: InstanceId): Instance? = instances.find { it.id == id }

    fun start() {
        timers.after("instance list", delayMs = 0) { read() }
        timers.every("instance list", READ_PERIOD_MS, jitter = 0.2) { read() }
    }

    private suspend fun read() {
        try {
            val response = http.get("http://$service/v1/instances")
            if (!response.status.isSuccess()) return
            list = WireJson.decodeFromString(InstanceList.serializer(), response.bodyAsText())
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            // The last list stays in use while the service cannot be read.
            return
        }
    }

    private companion object {
        const val NEVER = -1L
        const val READ_PERIOD_MS = 2_000L
    }
}
