package io.oriolehall.entry.http

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.oriolehall.entry.InstanceStatus
import io.oriolehall.entry.explain.RequestHistory
import io.oriolehall.entry.explain.RequestRecord
import io.oriolehall.entry.limits.OwnedEndpoint
import io.oriolehall.entry.quarantine.SharedLoss
import io.oriolehall.model.RequestId
import io.oriolehall.runtime.AuditRecord
import io.oriolehall.runtime.AuditTrail
import kotlinx.serialization.builtins.ListSerializer

/** The operators' HTTP interface, on a listener of its own. It only reads; changes come by ticket. */
internal class OperatorRoutes(
    private val status: () -> InstanceStatus,
    private val ready: () -> Boolean,
    private val metrics: PrometheusMeterRegistry,
    private val audit: AuditTrail,
    private val history: RequestHistory,
    private val limits: () -> List<OwnedEndpoint>,
    private val crashes: () -> List<SharedLoss>,
) {
    fun install(route: Route) {
        route.get("/health") { call.respondText("ok") }
        route.get("/ready") { respondReady(call) }
        route.get("/metrics") { call.respondText(metrics.scrape(), ContentType.Text.Plain) }
        route.get("/status") { call.respondJson(InstanceStatus.serializer(), status()) }
        route.get("/audit") { call.respondJson(ListSerializer(AuditRecord.serializer()), audit.records()) }
        route.get("/limits") { call.respondJson(ListSerializer(OwnedEndpoint.serializer()), limits()) }
        route.get("/quarantine") { call.respondJson(ListSerializer(SharedLoss.serializer()), crashes()) }
        route.get("/explain") {
            call.respondJson(ListSerializer(RequestRecord.serializer()), history.newest(NEWEST_REQUESTS))
        }
        route.get("/explain/{id}") { explain(call, RequestId(call.parameters["id"].orEmpty())) }
    }

    private suspend fun respondReady(call: ApplicationCall) {
        val status = if (ready()) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable
        call.respondText(if (ready()) "ready" else "not ready", status = status)
    }

    private suspend fun explain(call: ApplicationCall, id: RequestId) {
        val record = history.find(id)
        if (record == null) {
            val text = "no record of $id here; ask the instance named before the ~ of the identifier"
            call.respondText(text, status = HttpStatusCode.NotFound)
        } else {
            call.respondJson(RequestRecord.serializer(), record)
        }
    }

    private companion object {
        const val NEWEST_REQUESTS = 100
    }
}
