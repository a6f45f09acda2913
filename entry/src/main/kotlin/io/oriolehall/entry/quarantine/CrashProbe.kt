package io.oriolehall.entry.quarantine

import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import io.oriolehall.model.Endpoint
import io.oriolehall.model.LoadReport
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.WireJson
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import java.net.ConnectException

/** Tells an endpoint whose process ended from one that cannot be reached or broke a single connection. */
class CrashProbe(private val http: HttpClient, private val dialled: (NetworkAddress) -> NetworkAddress) {
    /** True when the process that took a call at wall-clock time [calledAtMs] has ended. */
    suspend fun ended(endpoint: Endpoint, calledAtMs: Long): Boolean = try {
        val report = withTimeoutOrNull(TIMEOUT_MS) {
            val text = http.get("http://${dialled(endpoint.address)}/load").bodyAsText()
            WireJson.decodeFromString(LoadReport.serializer(), text)
        }
        report != null && report.startedAtMs > calledAtMs
    } catch (e: CancellationException) {
        throw e
    } catch (e: ConnectException) {
        true
    } catch (e: Exception) {
        false
    }

    private companion object {
        const val TIMEOUT_MS = 500L
    }
}
