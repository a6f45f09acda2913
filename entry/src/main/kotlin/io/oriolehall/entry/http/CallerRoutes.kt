package io.oriolehall.entry.http

import io.ktor.server.application.ApplicationCall
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.oriolehall.entry.answers.AnswerStore
import io.oriolehall.entry.requests.AnswerRelay
import io.oriolehall.entry.requests.RequestGate
import io.oriolehall.model.CallerHeaders
import io.oriolehall.model.InstanceId
import io.oriolehall.model.MintedToken
import io.oriolehall.model.OrganisationId
import io.oriolehall.model.Refusal
import io.oriolehall.model.RefusalKind
import io.oriolehall.model.RequestId
import io.oriolehall.model.RunOutcome

/** The callers' HTTP interface. docs/CALLERS.md is the contract. */
internal class CallerRoutes(
    private val instance: InstanceId,
    private val reader: RequestReader,
    private val gate: RequestGate,
    private val answers: AnswerStore,
    private val relay: AnswerRelay,
    private val mint: (OrganisationId) -> MintedToken,
    private val refusal: () -> Refusal?,
) {
    fun install(route: Route) {
        route.post("/v1/pipelines/{name}") { send(call, call.parameters["name"].orEmpty()) }
        route.post("/v1/tokens") { mint(call) }
        route.get("/v1/requests/{id}") { resume(call, RequestId(call.parameters["id"].orEmpty())) }
    }

    private suspend fun send(call: ApplicationCall, name: String) {
        refusal()?.let { return call.respondUnread(it) }
        val organisation = reader.authenticate(call)
        if (organisation.isErr) return call.respondUnread(organisation.error)
        val request = reader.read(call, organisation.value, name)
        if (request.isErr) return call.respondUnread(request.error)
        val answer = gate.begin(request.value)
        if (answer.isErr) return call.respondRefusal(answer.error)
        call.respondAnswer(answer.value, instance)
    }

    /** Refuses a request whose key was not looked at: an earlier sending may have run through another instance. */
    private suspend fun ApplicationCall.respondUnread(refusal: Refusal) {
        val keyed = request.headers[CallerHeaders.IDEMPOTENCY_KEY] != null
        respondRefusal(if (keyed) refusal.copy(outcome = RunOutcome.UNKNOWN) else refusal)
    }

    private suspend fun mint(call: ApplicationCall) {
        val organisation = reader.authenticate(call)
        if (organisation.isErr) return call.respondRefusal(organisation.error)
        call.respondJson(MintedToken.serializer(), mint(organisation.value.id))
    }

    private suspend fun resume(call: ApplicationCall, id: RequestId) {
        val organisation = reader.authenticate(call)
        if (organisation.isErr) return call.respondRefusal(organisation.error)
        val lastEvent = call.request.headers[CallerHeaders.LAST_EVENT_ID] ?: "0"
        val offset = lastEvent.toLongOrNull()?.takeIf { it >= 0 }
            ?: return call.respondRefusal(badOffset(lastEvent))
        val owner = organisation.value.id
        val answer = answers.find(id, owner)
        if (answer != null) {
            call.respondAnswer(answer, instance, offset)
        } else {
            call.respondRelayed(id, instance) { relay.follow(id, owner, offset, it) }
        }
    }

    private fun badOffset(text: String) =
        Refusal(RefusalKind.BAD_REQUEST, "${CallerHeaders.LAST_EVENT_ID} must be a byte offset, not '$text'")
}
