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
import io.oriolehall.model.settings.EntrySettings
import io.oriolehall.runtime.TimerService
import kotlinx.coroutines.CancellationException

/**
 * The platform's list of instances as last read. The list lags; it is a hint where others may be found. It is read
 * often in the first seconds, seldom later, and soon when somebody asks for it.
 *
 * @param periodMs time between two reads later on, milliseconds.
 */
class InstanceDirectory(
    private val http: HttpClient,
    private val service: NetworkAddress,
    private val timers: TimerService,
    private val periodMs: Long = PERIOD_MS,
) {
    private val startedAtMs = timers.nowMs()
    private var nextReadMs = startedAtMs

    @Volatile
    private var list = InstanceList(asOfMs = NEVER, instances = emptyList())

    /** The instances of the newest list. */
    val instances: List<Instance> get() = list.instances

    /** True once a list has been read. */
    val known: Boolean get() = list.asOfMs != NEVER

    fun find(id: InstanceId): Instance? = instances.find { it.id == id }

    fun start() {
        timers.after("instance list", delayMs = 0) { read() }
        timers.every("instance list", SHORT_PERIOD_MS, jitter = 0.2) { if (timers.nowMs() >= nextReadMs) read() }
    }

    /** Asks for a read soon, as nobody was found where the list has them. Call it on the control thread. */
    fun refresh() {
        nextReadMs = timers.nowMs()
    }

    private suspend fun read() {
        nextReadMs = timers.nowMs()
        try {
            val response = http.get("http://$service/v1/instances")
            if (!response.status.isSuccess()) return
            list = WireJson.decodeFromString(InstanceList.serializer(), response.bodyAsText())
            val young = timers.nowMs() - startedAtMs < YOUNG_MS
            if (!young) nextReadMs = timers.nowMs() + periodMs
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            // The last list stays in use while the service cannot be read.
            return
        }
    }

    companion object {
        /** Time between two reads where the list only serves first contacts, milliseconds. */
        private const val PERIOD_MS = 30_000L

        /** Least time between two reads, milliseconds. */
        private const val SHORT_PERIOD_MS = 2_000L
        private const val YOUNG_MS = 10_000L
        private const val NEVER = -1L

        /** Without heartbeats, or where an endpoint's limit is split by the list, the list has to be a fresh one. */
        fun periodMs(settings: EntrySettings): Long {
            val firstContactsOnly = settings.peers.exchange && settings.policy.limits != "equal-split"
            return if (firstContactsOnly) PERIOD_MS else SHORT_PERIOD_MS
        }
    }
}
