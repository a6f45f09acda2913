package io.oriolehall.entry.orders

import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import io.oriolehall.model.Endpoint
import io.oriolehall.model.EngineOrder
import io.oriolehall.model.LoadReport
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.OrderResult
import io.oriolehall.model.WireJson
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull

/** How an order ended. */
internal sealed interface OrderOutcome {
    data object CarriedOut : OrderOutcome

    /** The engine holds a higher fencing number, [fence]. */
    data class Refused(val fence: Long) : OrderOutcome

    /** The engine may carry the order out, now or later. */
    data class Unknown(val reason: String) : OrderOutcome
}

/** Reads engines' reports and gives them orders. */
internal class EngineClient(private val http: HttpClient, private val dialled: (NetworkAddress) -> NetworkAddress) {
    /** The report of [engine], or null when it gives none in time. */
    suspend fun report(engine: Endpoint): LoadReport? = try {
        withTimeoutOrNull(REPORT_TIMEOUT_MS) {
            val response = http.get("http://${dialled(engine.address)}/load")
            if (!response.status.isSuccess()) return@withTimeoutOrNull null
            WireJson.decodeFromString(LoadReport.serializer(), response.bodyAsText())
        }
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        // An engine that cannot be read is not ordered; its status says so.
        null
    }

    /** Gives [order] to [engine] and waits until it is carried out, at most [timeoutMs] milliseconds. */
    suspend fun order(engine: Endpoint, order: EngineOrder, timeoutMs: Long): OrderOutcome = try {
        withTimeoutOrNull(timeoutMs) { post(engine, order) } ?: OrderOutcome.Unknown("no answer in $timeoutMs ms")
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        OrderOutcome.Unknown(e.toString())
    }

    private suspend fun post(engine: Endpoint, order: EngineOrder): OrderOutcome {
        val response = http.post("http://${dialled(engine.address)}/orders") {
            contentType(ContentType.Application.Json)
            setBody(WireJson.encodeToString(EngineOrder.serializer(), order))
        }
        val text = response.bodyAsText()
        return when {
            response.status.isSuccess() -> OrderOutcome.CarriedOut

            response.status == HttpStatusCode.Conflict ->
                OrderOutcome.Refused(WireJson.decodeFromString(OrderResult.serializer(), text).fence)

            else -> OrderOutcome.Unknown("${response.status}")
        }
    }

    private companion object {
        const val REPORT_TIMEOUT_MS = 1_000L
    }
}
