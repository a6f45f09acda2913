package io.oriolehall.entry.keys

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.oriolehall.entry.answers.Answer
import io.oriolehall.entry.answers.AnswerItem
import io.oriolehall.entry.answers.AnswerStore
import io.oriolehall.entry.requests.InboundRequest
import io.oriolehall.entry.requests.PipelineExecutor
import io.oriolehall.entry.requests.RequestGate
import io.oriolehall.model.PipelineRequest
import io.oriolehall.model.Refusal
import io.oriolehall.model.RefusalKind
import io.oriolehall.model.RequestId
import io.oriolehall.model.RunOutcome
import io.oriolehall.model.WireJson
import io.oriolehall.policy.config.ConfigSnapshot
import io.oriolehall.policy.keys.ArrivalDecision
import io.oriolehall.policy.keys.ClaimStep
import io.oriolehall.policy.keys.IdempotencyKey
import io.oriolehall.policy.keys.KeyHolder
import io.oriolehall.policy.keys.KeyOutcome
import io.oriolehall.policy.keys.KeyState
import io.oriolehall.policy.keys.KeyTable
import io.oriolehall.policy.keys.RequestDigest
import io.oriolehall.policy.keys.TokenCodec
import io.oriolehall.runtime.Event
import io.oriolehall.runtime.EventLog
import io.oriolehall.runtime.TimerService

/** Runs each non-idempotent request at most once over all instances, by its idempotency key. */
internal class KeyGate(
    private val self: KeyHolder,
    private val tokens: TokenCodec,
    private val table: KeyTable,
    private val claimant: KeyClaimant,
    private val relay: KeyRelay,
    private val executor: PipelineExecutor,
    private val answers: AnswerStore,
    private val config: () -> ConfigSnapshot,
    private val clock: KeyClock,
    private val timers: TimerService,
    private val log: EventLog,
) : RequestGate {
    override suspend fun begin(request: InboundRequest): Result<Answer, Refusal> {
        if (request.pipeline.idempotent) return Ok(executor.start(request, executor.newRequestId()))
        val text = request.key ?: return Err(keyRequired(request))
        val key = IdempotencyKey.parse(text, tokens)
        if (key.isErr) return Err(Refusal(RefusalKind.BAD_KEY, key.error.message))
        return begin(request, key.value, relayedTo = null)
    }

    /** Answers a request that another instance passed on. */
    suspend fun relayed(message: RelayRequest, emit: suspend (AnswerItem) -> Unit) {
        val request = message.toInbound()
        val key = IdempotencyKey.parse(message.key, tokens)
        val answer = if (request == null || key.isErr) {
            Err(KeyRelay.lost("${self.instance} does not know the organisation or pipeline yet"))
        } else {
            begin(request, key.value, message.holder)
        }
        if (answer.isErr) emit(AnswerItem.Refused(answer.error)) else answer.value.follow(0, emit)
    }

    private fun RelayRequest.toInbound(): InboundRequest? {
        val snapshot = config()
        val organisation = snapshot.organisation(organisation) ?: return null
        val pipeline = snapshot.pipeline(pipeline) ?: return null
        val now = timers.nowMs()
        return InboundRequest(organisation, pipeline, body, arrivedMs = now, deadlineMs = now + remainingMs, key = key)
    }

    private fun begin(request: InboundRequest, key: IdempotencyKey, relayedTo: KeyHolder?): Result<Answer, Refusal> {
        if (key is IdempotencyKey.Token && key.content.organisation != request.organisation.id) {
            return Err(Refusal(RefusalKind.BAD_KEY, "the token was not minted for this organisation"))
        }
        val body = WireJson.encodeToString(PipelineRequest.serializer(), request.body)
        val digest = RequestDigest.of(request.organisation.id, request.pipeline.id, body)
        val id = RequestId("${self.instance}~${RequestDigest.requestId(key.text)}")
        return synchronized(table) {
            when (val decision = table.onArrival(key, digest, clock.nowMs(), relayedTo)) {
                is ArrivalDecision.Begin -> Ok(run(request, key, id))

                is ArrivalDecision.Relay -> Ok(passOn(request, id, decision.holder))

                is ArrivalDecision.Join -> join(request, key, id)

                is ArrivalDecision.Reused -> Err(reused(decision.knownNotRun))

                ArrivalDecision.HolderLost ->
                    Err(KeyRelay.lost("the process that may hold the key is gone or cannot be asked"))

                ArrivalDecision.Expired -> Err(expired())
            }
        }
    }

    private fun run(request: InboundRequest, key: IdempotencyKey, id: RequestId): Answer {
        val guard = KeyGuard(table, key.text, request.deadlineMs, timers)
        return executor.start(request.copy(guard = guard), id) { answer -> hold(request, key, answer) }
    }

    /** True once this process holds the key; otherwise [answer] has been ended. */
    private suspend fun hold(request: InboundRequest, key: IdempotencyKey, answer: Answer): Boolean {
        if (table.find(key.text)?.state is KeyState.Held) return true
        val step = claimant.claim(key)
        val state = table.change(key.text) { it.afterClaimStep(step) }?.after?.state
        if (state is KeyState.Held) return true
        if (state is KeyState.HeldElsewhere) {
            relay.fill(answer, request, state.holder)
        } else {
            answer.refuse(unclaimed(step, state))
        }
        return false
    }

    private fun passOn(request: InboundRequest, id: RequestId, holder: KeyHolder): Answer =
        executor.start(request.copy(guard = RelayGuard), id) { answer ->
            relay.fill(answer, request, holder)
            false
        }

    private fun join(request: InboundRequest, key: IdempotencyKey, id: RequestId): Result<Answer, Refusal> {
        val finished = table.find(key.text)?.state as? KeyState.Finished
        if (finished?.outcome == KeyOutcome.CLOSED) return Err(Refusal(RefusalKind.KEY_CLOSED, "the key was closed"))
        return answers.find(id, request.organisation.id)?.let { Ok(it) } ?: Err(answerGone(finished?.outcome))
    }

    private fun answerGone(outcome: KeyOutcome?): Refusal = when (outcome) {
        KeyOutcome.ANSWERED, KeyOutcome.RAN ->
            Refusal(RefusalKind.KEY_EXPIRED, "the request ran; its answer is no longer kept", RunOutcome.RAN)

        else -> KeyRelay.lost("the request was sent to an endpoint; what became of it is not known")
    }

    private fun unclaimed(step: ClaimStep, state: KeyState?): Refusal {
        log.write(Event.KEY_NOT_CLAIMED, "step" to step)
        if (state is KeyState.Finished) {
            val detail = "too few witnesses of the key answered; it is closed, use a new one"
            return Refusal(RefusalKind.WITNESS_SILENT, detail, RunOutcome.NOT_RUN)
        }
        return KeyRelay.lost("too few witnesses of the key can vouch for it")
    }

    private fun keyRequired(request: InboundRequest) =
        Refusal(RefusalKind.KEY_REQUIRED, "pipeline ${request.pipeline.id} has a stage that may not run twice")

    private fun reused(knownNotRun: Boolean): Refusal {
        val outcome = if (knownNotRun) RunOutcome.NOT_RUN else RunOutcome.UNKNOWN
        return Refusal(RefusalKind.KEY_REUSED, "the key belongs to another request", outcome)
    }

    private fun expired() =
        Refusal(RefusalKind.KEY_EXPIRED, "the key is too old; nothing is remembered of it", RunOutcome.UNKNOWN)
}
