package io.oriolehall.entry.config

import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import io.ktor.http.isSuccess
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.TicketPage
import io.oriolehall.model.WireJson
import io.oriolehall.policy.config.Backoff
import io.oriolehall.runtime.Event
import io.oriolehall.runtime.EventLog
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Follows the configuration service by a waiting read. After a failure it waits for a random time that grows. What it
 * reads is only ever added: a service that shows an older state takes nothing back. Runs on the control thread.
 */
class ConfigReader(
    private val http: HttpClient,
    private val service: NetworkAddress,
    private val scope: CoroutineScope,
    private val store: ConfigStore,
    private val log: EventLog,
    private val backoff: Backoff = Backoff(),
) {
    /** Revision up to which this instance has taken in what the service shows. */
    @Volatile
    var revision = 0L
        private set

    /** True while the service answers. */
    @Volatile
    var reachable = false
        private set

    /** True once everything that the service showed at one moment has been read. */
    @Volatile
    var caughtUp = false
        private set

    private var reported = true

    fun start() {
        scope.launch {
            while (isActive) {
                if (readOnce()) backoff.reset() else delay(backoff.next())
            }
        }
    }

    /** Reads on from [revision], because what was published before it has come from another instance. */
    fun skipTo(revision: Long) {
        this.revision = maxOf(this.revision, revision)
    }

    private suspend fun readOnce(): Boolean {
        val page = try {
            withTimeoutOrNull(READ_TIMEOUT_MS) { fetch() }
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            null
        }
        noteReachable(page != null)
        if (page == null) return false
        page.tickets.forEach(store::take)
        revision = page.revision
        caughtUp = caughtUp || !page.more
        return true
    }

    /** The first read does not wait, so that an instance starts at once also where nothing has been published. */
    private suspend fun fetch(): TicketPage? {
        val waitMs = if (caughtUp) WATCH_MS else 0
        val response = http.get("http://$service/v1/watch?after=$revision&waitMs=$waitMs&limit=$PAGE_SIZE")
        if (!response.status.isSuccess()) return null
        return WireJson.decodeFromString(TicketPage.serializer(), response.bodyAsText())
    }

    private fun noteReachable(now: Boolean) {
        reachable = now
        if (now == reported) return
        reported = now
        log.write(if (now) Event.PLATFORM_REACHED else Event.PLATFORM_UNREACHABLE, "service" to service)
    }

    private companion object {
        const val WATCH_MS = 5_000L
        const val READ_TIMEOUT_MS = 7_000L
        const val PAGE_SIZE = 500
    }
}
