package io.oriolehall.entry.limits

import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import io.ktor.http.isSuccess
import io.oriolehall.model.Endpoint
import io.oriolehall.model.EndpointId
import io.oriolehall.model.LoadReport
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.WireJson
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Asks endpoints for their load. One that is [held] back from work, or carries out an order, bears nothing and is cold
 * afterwards.
 */
class LoadReports(
    private val http: HttpClient,
    private val dialled: (NetworkAddress) -> NetworkAddress,
    private val held: (EndpointId) -> Boolean = { false },
) {
    /** The newest report of [endpoint], or null when it gives none in time. */
    suspend fun read(endpoint: Endpoint): LoadReport? = try {
        withTimeoutOrNull(TIMEOUT_MS) {
            val response = http.get("http://${dialled(endpoint.address)}/load")
            if (!response.status.isSuccess()) return@withTimeoutOrNull null
            withoutWork(endpoint, WireJson.decodeFromString(LoadReport.serializer(), response.bodyAsText()))
        }
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        // Not every endpoint reports; without a report the limit follows the ramp and the calls.
        null
    }

    private fun withoutWork(endpoint: Endpoint, report: LoadReport): LoadReport =
        if (report.ordering || held(endpoint.id)) report.copy(limit = 0, warm = false) else report

    private companion object {
        const val TIMEOUT_MS = 400L
    }
}
