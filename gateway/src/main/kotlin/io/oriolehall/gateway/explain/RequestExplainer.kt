package io.oriolehall.gateway.explain

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.oriolehall.dispatch.admission.ShutdownAdmission
import io.oriolehall.dispatch.admission.StageAdmission
import io.oriolehall.dispatch.config.ConfirmedConfig
import io.oriolehall.dispatch.config.Organisation
import io.oriolehall.dispatch.config.Route
import io.oriolehall.dispatch.endpoints.SendDecision
import io.oriolehall.dispatch.limits.RetryAllowances
import io.oriolehall.gateway.TrafficLoop
import io.oriolehall.gateway.feed.PublishedState
import io.oriolehall.gateway.http.CallerRequest
import io.oriolehall.gateway.requests.AttemptSequence
import io.oriolehall.gateway.requests.EndpointChoice
import io.oriolehall.gateway.requests.EndpointEvaluation
import io.oriolehall.gateway.requests.EndpointSelection
import io.oriolehall.gateway.requests.RefusalCause
import io.oriolehall.gateway.requests.Rejection
import io.oriolehall.gateway.requests.RequestAdmission
import io.oriolehall.gateway.requests.RequestContext
import io.oriolehall.gateway.requests.RequestEnvironment
import io.oriolehall.gateway.requests.RequestExecution
import io.oriolehall.gateway.requests.StageExecution
import io.oriolehall.gateway.upstream.EndpointPools
import io.oriolehall.model.Instance

/**
 * Explains what this instance would do now with a request, by the code that decides about requests. Sends nothing and
 * changes no state that a decision reads. Used on the traffic thread only.
 */
internal class RequestExplainer(
    private val self: Instance,
    private val state: PublishedState,
    private val pools: EndpointPools,
    private val retryAllowances: RetryAllowances,
    private val requestAdmission: RequestAdmission,
    private val environment: RequestEnvironment,
    private val shutdownAdmission: () -> ShutdownAdmission?,
) {
    private val wire = environment.wire

    fun explain(query: ExplainQuery): Result<Explanation, ExplainError> {
        val config = state.configHolder.current
            ?: return Ok(
                Explanation(self.id, self.zone, query.route, admission(listOf(requestAdmission.noConfiguration()))),
            )
        val routes = config.table.config.routes
        val route = routes.firstOrNull { it.name == query.route }
            ?: return Err(ExplainError.UnknownRoute(query.route, routes.map(Route::name)))
        val organisation = query.organisation?.let { name ->
            config.table.config.organisations.firstOrNull { it.id.value == name }
                ?: return Err(ExplainError.UnknownOrganisation(name))
        }
        val counts = StageExecution.parsePieceCounts(query.pieces, route.stages.size)
            ?: return Err(ExplainError.InvalidParameter(piecesMessage(route)))
        return Ok(explain(query, config, route, organisation, counts))
    }

    private fun piecesMessage(route: Route) = "parameter pieces does not name the pieces of each stage of route " +
        "\"${route.name}\"; give ${route.stages.size} whole numbers from 0 to ${StageExecution.MAX_PIECES}, " +
        "separated by commas"

    private fun explain(
        query: ExplainQuery,
        config: ConfirmedConfig,
        route: Route,
        organisation: Organisation?,
        counts: List<Int>,
    ): Explanation {
        val request = request(query, route)
        val contexts = route.targets.map {
            requestAdmission.context(request, ATTEMPT_ID, config.table, route, organisation, it.service)
        }
        val targets = contexts.map { Target(it, counts) }
        val stages = StageExecution(
            contexts.first(),
            counts,
            environment.stages,
            wire,
            targets.first().evaluation.chosen?.endpoint?.zone,
        )
        val stageTime = if (counts.any { it > 0 }) stageTime(contexts.first(), stages) else null
        val refused = requestAdmission.check(config, route, organisation) ?: shutdownRefusal(contexts.first())
        val weights = route.targets.map { it.weight }
        return Explanation(
            instance = self.id,
            zone = self.zone,
            route = route.name,
            organisation = organisation?.id,
            priority = contexts.first().priority,
            configuration = ExplainedConfiguration(
                config.table.config.version,
                state.now().ms - config.confirmedAt.ms,
            ),
            admission = refused?.let { admission(listOf(it)) } ?: admission(targets, shares(weights), stageTime),
            services = targets.mapIndexed { i, target -> service(target, weights[i], shares(weights)[i]) },
            stages = route.stages.indices.map { stage(route, it, counts[it], stages) },
            stageTime = stageTime,
        )
    }

    /** The request that [query] describes, as if it arrived now; its body is not known. */
    private fun request(query: ExplainQuery, route: Route): CallerRequest {
        val headers = DefaultHttpHeaders().set("Host", route.host)
        query.promptParts?.let { headers.set(wire.headers.promptParts, it) }
        query.pieces?.let { headers.set(wire.headers.pieceCounts, it) }
        return CallerRequest("POST", route.prefix, headers, ByteArray(0), TrafficLoop.nowMs())
    }

    /** A request for one of the services of its route, and the decisions about the endpoints of that service. */
    private inner class Target(val context: RequestContext, counts: List<Int>) {
        private val nowMs = context.request.receivedAtMs
        private val leadMs = RequestExecution.minStageMs(context, counts)
        val evaluation: EndpointEvaluation = environment.chooser.evaluate(
            context,
            state.endpoints.endpoints.values.filter { it.service == context.service }.sortedBy { it.id }
                .map(pools::viewOf),
            inputZone = null,
            nowMs + leadMs,
        )
        val waitsUpToMs: Long? = EndpointSelection.maxWaitMs(context.route).takeIf {
            val denied = evaluation.decisions.mapNotNull { entry -> entry.decision as? SendDecision.Denied }
            evaluation.chosen == null && EndpointChoice.None(denied).mayEndUntil(nowMs + it + leadMs)
        }
        val refusal: Rejection? = environment.quarantine.refusal(context)?.let(AttemptSequence::rejection)
            ?: noEndpoint().takeIf { evaluation.chosen == null }

        private fun noEndpoint() = Rejection.NotExecuted(
            RefusalCause.NO_ENDPOINT,
            "no endpoint can be used" + waitsUpToMs?.let { " now; the request waits up to $it ms for one" }.orEmpty(),
            retryAfterMs = 0,
        )
    }

    private fun shutdownRefusal(context: RequestContext): Rejection? {
        val admits = shutdownAdmission()?.admits(context.request.receivedAtMs, context.deadlineAtMs) ?: true
        return if (admits) null else Rejection.NotExecuted(RefusalCause.STOPPING, "the instance stops", 0)
    }

    private fun shares(weights: List<Int>): List<Double> {
        val total = weights.sum()
        // Without weights, all requests go to the last service.
        if (total <= 0) return weights.indices.map { if (it == weights.lastIndex) 1.0 else 0.0 }
        return weights.map { it.toDouble() / total }
    }

    private fun admission(rejections: List<Rejection>) =
        ExplainedAdmission(admitted = false, refusalProbability = 1.0, rejections.map { refusal(it, service = null) })

    private fun admission(
        targets: List<Target>,
        shares: List<Double>,
        stageTime: ExplainedStageTime?,
    ): ExplainedAdmission {
        val overloaded = stageTime?.refusalProbability ?: 0.0
        val possible = targets.zip(shares).filter { (_, share) -> share > 0 }
        val probability = possible.sumOf { (it, share) -> share * if (it.refusal == null) overloaded else 1.0 }
        val refusals = possible.mapNotNull { (it, _) ->
            it.refusal?.let { reason -> refusal(reason, it.context.service) }
        }
        val overload = stageTime?.takeIf { overloaded > 0 }?.let {
            val reason = "stages take ${it.expectedMs} ms now"
            refusal(Rejection.NotExecuted(RefusalCause.OVERLOADED, reason, retryAfterMs = 0), service = null)
        }
        val admitted = overloaded < 1 && possible.any { (it, _) -> it.refusal == null }
        return ExplainedAdmission(admitted, probability, refusals + listOfNotNull(overload))
    }

    private fun refusal(rejection: Rejection, service: String?) =
        ExplainedRefusal(rejection.status, rejection.kind, rejection.reason, service)

    private fun service(target: Target, weight: Int, share: Double): ExplainedService {
        val evaluation = target.evaluation
        val slowness = evaluation.candidates.associate { it.endpoint.incarnation to it.slowness }
        val service = target.context.service
        return ExplainedService(
            service = service,
            weight = weight,
            share = share,
            retriesLeft = retryAllowances.available(service, TrafficLoop.nowMs(), environment.instanceCount()),
            endpoints = evaluation.decisions.map { endpoint(it, slowness[it.pool.endpoint.incarnation]) },
            chosen = evaluation.chosen?.endpoint?.id,
            waitsUpToMs = target.waitsUpToMs,
        )
    }

    private fun endpoint(entry: EndpointEvaluation.Entry, slowness: Double?): ExplainedEndpoint {
        val nowMs = TrafficLoop.nowMs()
        val denied = entry.decision as? SendDecision.Denied
        return ExplainedEndpoint(
            endpoint = entry.pool.endpoint.id,
            zone = entry.pool.endpoint.zone,
            allowed = denied == null,
            obstacle = denied?.obstacle?.name?.lowercase(),
            obstacleEndsInMs = denied?.untilMs?.let { it - nowMs },
            rank = (entry.decision as? SendDecision.Allowed)?.rank,
            outstanding = entry.pool.outstanding,
            slowness = slowness,
            coldShare = entry.coldShare,
            coldSent = entry.coldShare?.let { entry.pool.coldLimit.sentInWindow(nowMs) },
        )
    }

    private fun stage(route: Route, stage: Int, pieces: Int, execution: StageExecution): ExplainedStage {
        val spec = route.stages[stage]
        val owners = environment.stages.queueOwners(spec.service)
            .map { ExplainedQueueOwner(it.id, it.zone, it.silent) }
        return ExplainedStage(
            stage,
            spec.service,
            pieces,
            spec.after,
            owners,
            execution.expectedStageMs(stage).toLong(),
        )
    }

    private fun stageTime(context: RequestContext, execution: StageExecution): ExplainedStageTime {
        val expectedMs = execution.expectedMs()
        val nowMs = context.request.receivedAtMs
        val deadlineMs = context.remainingMs(nowMs)
        val objectiveMs = context.objectiveAtMs - nowMs
        return ExplainedStageTime(
            expectedMs = expectedMs.toLong(),
            objectiveMs = objectiveMs,
            maxExpectedMs = StageAdmission.maxExpectedMs(deadlineMs).toLong(),
            refusalProbability = environment.stageAdmission.refusalProbability(
                expectedMs = expectedMs,
                objectiveMs = objectiveMs,
                deadlineMs = deadlineMs,
                priority = context.priority,
                othersAreShedFirst = RequestExecution.othersAreShedFirst(context),
            ),
        )
    }

    private companion object {
        /** Stands for the identifier that a caller sends; no decision reads it. */
        const val ATTEMPT_ID = "explain"
    }
}
