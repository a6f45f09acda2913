package io.oriolehall.gateway.requests

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.oriolehall.dispatch.endpoints.EndpointRecord
import io.oriolehall.gateway.wire.WireProtocol

/** Which headers are passed on in either direction. */
internal class HeaderPolicy(private val wire: WireProtocol) {
    private val gatewayOnly: Set<String> =
        (wire.headers.reserved + wire.headers.organisation + wire.headers.expectedEndpoint + wire.headers.inputs)
            .mapTo(HashSet(), String::lowercase)

    /** Headers of a request to [endpoint]. */
    fun toEndpoint(
        context: RequestContext,
        endpoint: EndpointRecord,
        inputs: List<String>,
        lastEventId: String?,
        leftMs: Long,
    ): HttpHeaders {
        val from = context.request.headers
        val to = DefaultHttpHeaders()
        val perConnection = perConnection(from)
        for ((name, value) in from.iteratorAsString()) {
            val key = name.lowercase()
            if (key in perConnection || key in gatewayOnly || key in REQUEST_ONLY) continue
            if (key == "authorization" && context.table.keysRequired) continue
            to.add(name, value)
        }
        val body = context.request.body
        if (body.isNotEmpty() || context.request.method in METHODS_WITH_BODY) to.set("Content-Length", body.size)
        to.set(wire.headers.deadlineMs, leftMs)
        to.set(wire.headers.expectedEndpoint, endpoint.id.value)
        context.organisation?.let { to.set(wire.headers.organisation, it.id.value) }
        if (inputs.isNotEmpty()) to.set(wire.headers.inputs, inputs.joinToString(","))
        if (lastEventId != null) to.set(wire.headers.lastEventId, lastEventId)
        return to
    }

    /** Headers of an endpoint's answer for the caller. */
    fun toCaller(from: HttpHeaders): HttpHeaders {
        val to = DefaultHttpHeaders()
        val perConnection = perConnection(from)
        for ((name, value) in from.iteratorAsString()) {
            if (name.lowercase() !in perConnection && name.lowercase() != "content-length") to.add(name, value)
        }
        return to
    }

    private fun perConnection(headers: HttpHeaders): Set<String> {
        val named = headers.getAll("Connection").flatMap { it.split(',') }.map { it.trim().lowercase() }
        return if (named.isEmpty()) PER_CONNECTION else PER_CONNECTION + named
    }

    private fun HttpHeaders.iteratorAsString() = Iterable { iteratorAsString() }

    private companion object {
        val PER_CONNECTION = setOf(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
        )
        val REQUEST_ONLY = setOf("content-length", "expect")
        val METHODS_WITH_BODY = setOf("POST", "PUT", "PATCH")
    }
}
