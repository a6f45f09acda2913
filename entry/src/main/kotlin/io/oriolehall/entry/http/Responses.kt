package io.oriolehall.entry.http

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.oriolehall.model.Problem
import io.oriolehall.model.Refusal
import io.oriolehall.model.RefusalKind
import io.oriolehall.model.WireJson
import kotlinx.serialization.KSerializer

private val PROBLEM_JSON = ContentType("application", "problem+json")
private const val MS_PER_SECOND = 1_000L

/** Answers with [refusal] as a problem document of RFC 9457. */
internal suspend fun ApplicationCall.respondRefusal(refusal: Refusal) {
    refusal.retryAfterMs?.let { response.header(HttpHeaders.RetryAfter, (it + MS_PER_SECOND - 1) / MS_PER_SECOND) }
    if (refusal.kind == RefusalKind.UNAUTHORISED) {
        response.header(HttpHeaders.WWWAuthenticate, "Basic realm=\"oriolehall\"")
    }
    val text = WireJson.encodeToString(Problem.serializer(), refusal.toProblem())
    respondText(text, PROBLEM_JSON, HttpStatusCode.fromValue(refusal.kind.status))
}

/** Answers with [value] as JSON. */
internal suspend fun <T> ApplicationCall.respondJson(
    serializer: KSerializer<T>,
    value: T,
    status: HttpStatusCode = HttpStatusCode.OK,
) {
    respondText(WireJson.encodeToString(serializer, value), ContentType.Application.Json, status)
}
