package io.oriolehall.gateway.requests

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.oriolehall.dispatch.config.Organisation
import io.oriolehall.dispatch.config.Route
import io.oriolehall.dispatch.config.RouteTable
import io.oriolehall.dispatch.config.TrustedConfig
import io.oriolehall.gateway.feed.PublishedState
import io.oriolehall.gateway.http.CallerRequest
import io.oriolehall.gateway.wire.WireProtocol
import kotlin.random.Random

/**
 * Decides whether a request is let in: its route, its organisation and its deadline, by the configuration in force.
 *
 * @param keyTrustMs age of the last confirmation of the configuration beyond which API keys are not honoured,
 *   milliseconds; null when keys need no confirmation.
 */
internal class Intake(
    private val state: PublishedState,
    private val wire: WireProtocol,
    private val keyTrustMs: Long?,
    private val random: Random,
) {
    fun admit(request: CallerRequest): Result<RequestContext, Rejection> {
        val trusted = state.trust.current
            ?: return Err(
                Rejection.NotExecuted(RefusalCause.NO_CONFIGURATION, "no configuration yet", NO_CONFIG_RETRY_MS),
            )
        val table = trusted.table
        val attemptId = request.headers.get(wire.headers.attemptId)
            ?: return Err(Rejection.Malformed("header ${wire.headers.attemptId} is missing"))
        val route = table.route(request.host, request.uri)
            ?: return Err(Rejection.UnknownRoute("no route for this host and path"))
        val organisation = authenticate(table, request)
        val refusal = if (table.keysRequired && !route.anonymous) refuseKey(trusted, organisation) else null
        if (refusal != null) return Err(refusal)
        return Ok(context(request, attemptId, table, route, organisation))
    }

    private fun refuseKey(trusted: TrustedConfig, organisation: Organisation?): Rejection? = when {
        keyTrustMs != null && !trusted.mayHonourKeys(state.now(), keyTrustMs) ->
            Rejection.NotExecuted(RefusalCause.UNCONFIRMED, "configuration is not confirmed", UNCONFIRMED_RETRY_MS)

        organisation == null -> Rejection.UnknownKey("API key is missing or not known")

        else -> null
    }

    private fun authenticate(table: RouteTable, request: CallerRequest): Organisation? {
        val value = request.headers.get("Authorization") ?: return null
        val scheme = value.substringBefore(' ')
        if (!scheme.equals(wire.keyScheme, ignoreCase = true)) return null
        return table.organisation(value.substringAfter(' ').trim())
    }

    private fun context(
        request: CallerRequest,
        attemptId: String,
        table: RouteTable,
        route: Route,
        organisation: Organisation?,
    ): RequestContext {
        val callerMs = request.headers.get(wire.headers.deadlineMs)?.toLongOrNull()?.takeIf { it > 0 }
        val limitMs = minOf(callerMs ?: route.timeoutMs, route.timeoutMs)
        return RequestContext(
            request = request,
            attemptId = attemptId,
            table = table,
            route = route,
            service = draw(route),
            organisation = organisation,
            deadlineAtMs = request.receivedAtMs + limitMs,
            objectiveAtMs = request.receivedAtMs + route.objectiveMs,
        )
    }

    private fun draw(route: Route): String {
        var left = random.nextInt(route.targets.sumOf { it.weight }.coerceAtLeast(1))
        for (target in route.targets) {
            if (left < target.weight) return target.service
            left -= target.weight
        }
        return route.targets.last().service
    }

    private companion object {
        const val NO_CONFIG_RETRY_MS = 400L
        const val UNCONFIRMED_RETRY_MS = 800L
    }
}
