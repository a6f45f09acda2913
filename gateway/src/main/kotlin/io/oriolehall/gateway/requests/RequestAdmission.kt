package io.oriolehall.gateway.requests

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.oriolehall.dispatch.config.ConfirmedConfig
import io.oriolehall.dispatch.config.Organisation
import io.oriolehall.dispatch.config.Route
import io.oriolehall.dispatch.config.RouteTable
import io.oriolehall.gateway.feed.PublishedState
import io.oriolehall.gateway.http.CallerRequest
import io.oriolehall.gateway.wire.WireProtocol
import io.oriolehall.model.FieldText
import kotlin.random.Random

/**
 * Admits or rejects a request by the current configuration, and determines its route, organisation and deadline.
 *
 * @param maxConfigAgeMs API keys are rejected when the configuration was last confirmed longer ago than this,
 *   milliseconds; null when keys are accepted without confirmation.
 */
internal class RequestAdmission(
    private val state: PublishedState,
    private val wire: WireProtocol,
    private val maxConfigAgeMs: Long?,
    private val random: Random,
) {
    fun admit(request: CallerRequest): Result<RequestContext, Rejection> {
        val currentConfig = state.configHolder.current
            ?: return Err(noConfiguration())
        val table = currentConfig.table
        val attemptId = request.headers.get(wire.headers.attemptId)
            ?: return Err(Rejection.Malformed("header ${wire.headers.attemptId} is missing"))
        val route = table.route(request.host, request.uri)
            ?: return Err(Rejection.UnknownRoute("no route for this host and path"))
        val organisation = authenticate(table, request)
        val rejection = check(currentConfig, route, organisation)
        if (rejection != null) return Err(rejection)
        return Ok(context(request, attemptId, table, route, organisation, chooseService(route)))
    }

    /** The rejection of all requests while there is no configuration. */
    fun noConfiguration(): Rejection =
        Rejection.NotExecuted(RefusalCause.NO_CONFIGURATION, "no configuration yet", NO_CONFIG_RETRY_MS)

    /** Why a request of [organisation] on [route] is rejected by [config] now; null if it is not. */
    fun check(config: ConfirmedConfig, route: Route, organisation: Organisation?): Rejection? {
        val keyRejection = if (config.table.keysRequired && !route.anonymous) checkKey(config, organisation) else null
        return keyRejection ?: organisation?.let(::checkName)
    }

    private fun checkKey(currentConfig: ConfirmedConfig, organisation: Organisation?): Rejection? = when {
        maxConfigAgeMs != null && !currentConfig.mayAcceptApiKeys(state.now(), maxConfigAgeMs) ->
            Rejection.NotExecuted(RefusalCause.UNCONFIRMED, "configuration is not confirmed", UNCONFIRMED_RETRY_MS)

        organisation == null -> Rejection.UnknownKey("API key is missing or not known")

        else -> null
    }

    private fun checkName(organisation: Organisation): Rejection? {
        if (FieldText.isSendable(organisation.id.value)) return null
        val reason = "the name of organisation \"${organisation.id}\" cannot be sent in a header field; rename it"
        return Rejection.NotExecuted(RefusalCause.UNSENDABLE_NAME, reason, UNSENDABLE_NAME_RETRY_MS)
    }

    private fun authenticate(table: RouteTable, request: CallerRequest): Organisation? {
        val value = request.headers.get("Authorization") ?: return null
        val scheme = value.substringBefore(' ')
        if (!scheme.equals(wire.keyScheme, ignoreCase = true)) return null
        return table.organisation(value.substringAfter(' ').trim())
    }

    /** The context of an admitted [request] that goes to [service], one of the targets of [route]. */
    fun context(
        request: CallerRequest,
        attemptId: String,
        table: RouteTable,
        route: Route,
        organisation: Organisation?,
        service: String,
    ): RequestContext {
        val callerTimeoutMs = request.headers.get(wire.headers.deadlineMs)?.toLongOrNull()?.takeIf { it > 0 }
        val timeoutMs = minOf(callerTimeoutMs ?: route.timeoutMs, route.timeoutMs)
        return RequestContext(
            request = request,
            attemptId = attemptId,
            plan = table.plan(route),
            service = service,
            organisation = organisation,
            deadlineAtMs = request.receivedAtMs + timeoutMs,
            objectiveAtMs = request.receivedAtMs + route.objectiveMs,
            sharedPromptParts = sharedPromptParts(request),
        )
    }

    private fun sharedPromptParts(request: CallerRequest): List<String> {
        val parts = request.headers.get(wire.headers.promptParts) ?: return emptyList()
        return parts.split(',').dropLast(1).map { it.substringBefore(':').trim() }.filter(String::isNotEmpty)
    }

    /** Chooses one of the services of [route] at random, in proportion to their weights. */
    private fun chooseService(route: Route): String {
        var remainingWeight = random.nextInt(route.targets.sumOf { it.weight }.coerceAtLeast(1))
        for (target in route.targets) {
            if (remainingWeight < target.weight) return target.service
            remainingWeight -= target.weight
        }
        return route.targets.last().service
    }

    private companion object {
        const val NO_CONFIG_RETRY_MS = 400L
        const val UNCONFIRMED_RETRY_MS = 800L

        /** Only a new configuration can change it. */
        const val UNSENDABLE_NAME_RETRY_MS = 5_000L
    }
}
