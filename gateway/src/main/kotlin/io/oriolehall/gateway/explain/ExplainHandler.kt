package io.oriolehall.gateway.explain

import com.github.michaelbull.result.flatMap
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.oriolehall.gateway.http.CallerRequest
import io.oriolehall.gateway.http.RequestHandler
import io.oriolehall.gateway.http.Responder
import io.oriolehall.model.WireJson

/** Serves `GET /explain` on the metrics listener, and all other requests by [metricsPage]. */
internal class ExplainHandler(
    private val explainer: RequestExplainer,
    private val metricsPage: RequestHandler,
) : RequestHandler {
    override suspend fun serve(request: CallerRequest, responder: Responder) {
        if (request.uri.substringBefore('?') != ExplainQuery.PATH) return metricsPage.serve(request, responder)
        if (request.method != "GET") {
            respond(responder, METHOD_NOT_ALLOWED, TEXT, "method ${request.method} is not supported; use GET")
            return
        }
        val explained = ExplainQuery.parse(request.uri).flatMap(explainer::explain)
        if (explained.isOk) {
            respond(responder, OK, JSON, WireJson.encodeToString(Explanation.serializer(), explained.value))
        } else {
            respond(responder, explained.error.status, TEXT, explained.error.message)
        }
    }

    private fun respond(responder: Responder, status: Int, contentType: String, body: String) =
        responder.respond(status, DefaultHttpHeaders().set("Content-Type", contentType), body.encodeToByteArray())

    private companion object {
        const val OK = 200
        const val METHOD_NOT_ALLOWED = 405
        const val JSON = "application/json"
        const val TEXT = "text/plain; charset=utf-8"
    }
}
