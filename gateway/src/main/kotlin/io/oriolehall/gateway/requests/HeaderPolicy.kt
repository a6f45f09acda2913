package io.oriolehall.gateway.requests

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.oriolehall.dispatch.endpoints.EndpointRecord
import io.oriolehall.gateway.wire.WireProtocol
import io.oriolehall.model.FieldText

/** Selects the headers that are forwarded to endpoints and back to callers. */
internal class HeaderPolicy(private val wire: WireProtocol) {
    private val gatewayOnly: Set<String> =
        (wire.headers.reserved + wire.headers.organisation + wire.headers.expectedEndpoint + wire.headers.inputs)
            .mapTo(HashSet(), String::lowercase)

    /** Headers of the request to [endpoint]. */
    fun requestHeaders(
        context: RequestContext,
        endpoint: EndpointRecord,
        inputs: List<String>,
        lastEventId: String?,
        remainingMs: Long,
    ): HttpHeaders {
        val source = context.request.headers
        val forwarded = DefaultHttpHeaders()
        val hopByHop = hopByHop(source)
        for ((name, value) in source.iteratorAsString()) {
            val lowercaseName = name.lowercase()
            if (lowercaseName in hopByHop || lowercaseName in gatewayOnly || lowercaseName in NOT_FORWARDED) continue
            if (lowercaseName == "authorization" && context.plan.keysRequired) continue
            forwarded.add(name, value)
        }
        val body = context.request.body
        if (body.isNotEmpty() || context.request.method in METHODS_WITH_BODY) forwarded.set("Content-Length", body.size)
        forwarded.set(wire.headers.deadlineMs, remainingMs)
        forwarded.set(wire.headers.expectedEndpoint, FieldText.octets(endpoint.id.value))
        context.organisation?.let { forwarded.set(wire.headers.organisation, FieldText.octets(it.id.value)) }
        if (inputs.isNotEmpty()) forwarded.set(wire.headers.inputs, FieldText.octets(inputs.joinToString(",")))
        if (lastEventId != null) forwarded.set(wire.headers.lastEventId, FieldText.octets(lastEventId))
        return forwarded
    }

    /** Headers of the response to the caller, from those of the endpoint's response. */
    fun responseHeaders(source: HttpHeaders): HttpHeaders {
        val forwarded = DefaultHttpHeaders()
        val hopByHop = hopByHop(source)
        for ((name, value) in source.iteratorAsString()) {
            if (name.lowercase() !in hopByHop && name.lowercase() != "content-length") forwarded.add(name, value)
        }
        return forwarded
    }

    private fun hopByHop(headers: HttpHeaders): Set<String> {
        val listed = headers.getAll("Connection").flatMap { it.split(',') }.map { it.trim().lowercase() }
        return if (listed.isEmpty()) HOP_BY_HOP else HOP_BY_HOP + listed
    }

    private fun HttpHeaders.iteratorAsString() = Iterable { iteratorAsString() }

    private companion object {
        val HOP_BY_HOP = setOf(
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
        val NOT_FORWARDED = setOf("content-length", "expect")
        val METHODS_WITH_BODY = setOf("POST", "PUT", "PATCH")
    }
}
