package io.oriolehall.entry.requests

import io.oriolehall.entry.answers.Answer
import io.oriolehall.entry.answers.AnswerItem
import io.oriolehall.entry.answers.AnswerStore
import io.oriolehall.entry.explain.RequestHistory
import io.oriolehall.entry.explain.RequestRecord
import io.oriolehall.entry.stages.StageContext
import io.oriolehall.entry.stages.StageRunner
import io.oriolehall.model.InstanceId
import io.oriolehall.model.Refusal
import io.oriolehall.model.RefusalKind
import io.oriolehall.model.RequestId
import io.oriolehall.model.RunOutcome
import io.oriolehall.model.StageKind
import io.oriolehall.runtime.Event
import io.oriolehall.runtime.EventLog
import io.oriolehall.runtime.TimerService
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.UUID

/**
 * Runs requests through their pipelines. A run belongs to the instance, not to the caller's connection, so that a
 * caller can come back for the rest of its answer.
 */
class PipelineExecutor(
    private val instance: InstanceId,
    private val scope: CoroutineScope,
    private val stages: StageRunner,
    private val answers: AnswerStore,
    private val history: RequestHistory,
    private val timers: TimerService,
    private val log: EventLog,
) {
    /** A new identifier, which names this instance so that others can find the answer. */
    fun newRequestId(): RequestId = RequestId("${instance.value}~${UUID.randomUUID()}")

    /**
     * Starts [request] under [id] and returns its growing answer.
     *
     * @param prepare runs before the stages; when it returns false, it has ended the answer and no stage runs.
     */
    fun start(
        request: InboundRequest,
        id: RequestId,
        prepare: suspend (Answer) -> Boolean = { true },
    ): Answer {
        val answer = Answer(id, request.organisation.id)
        answers.add(answer)
        history.open(request.toRecord(id))
        scope.launch { run(request, answer, prepare) }
        return answer
    }

    private fun InboundRequest.toRecord(id: RequestId) = RequestRecord(
        requestId = id,
        instance = instance,
        organisation = organisation.id,
        pipeline = pipeline.id,
        arrivedAtMs = timers.wallClockMs() - (timers.nowMs() - arrivedMs),
        deadlineMs = deadlineMs - arrivedMs,
    )

    private suspend fun run(request: InboundRequest, answer: Answer, prepare: suspend (Answer) -> Boolean) {
        val context = StageContext(request, answer.requestId)
        try {
            val finished = withTimeoutOrNull(request.deadlineMs - timers.nowMs()) {
                if (prepare(answer)) runFollowed(context, answer)
            }
            if (finished == null) answer.refuse(request, deadlineExceeded(context))
        } catch (e: CancellationException) {
            answer.refuse(request, Refusal(RefusalKind.STOPPING, "the instance stopped", context.outcome()))
            throw e
        } catch (e: Exception) {
            log.write(Event.HTTP_HANDLER_FAILED, "request" to answer.requestId, "error" to e.stackTraceToString())
            answer.refuse(request, Refusal(RefusalKind.STAGE_FAILED, "internal error", context.outcome()))
        } finally {
            close(request, answer)
        }
    }

    /** Runs the stages; an idempotent request whose caller has gone and does not come back is stopped. */
    private suspend fun runFollowed(context: StageContext, answer: Answer) = coroutineScope {
        val work = launch { runStages(context, answer) }
        val watch = launch {
            if (!context.request.pipeline.idempotent) awaitCancellation()
            answer.awaitAbandoned(ABANDONED_AFTER_MS)
            answer.refuse(context.request, Refusal(RefusalKind.ABANDONED, "nobody read the answer", context.outcome()))
            work.cancel()
        }
        work.join()
        watch.cancel()
    }

    private suspend fun runStages(context: StageContext, answer: Answer) {
        var input = context.request.body.input
        for (stage in context.request.pipeline.stages) {
            val last = stage === context.request.pipeline.stages.last()
            val streamed = last && stage.kind == StageKind.GENERATE
            val output = stages.run(stage, input, context) { text -> if (streamed) answer.append(text) }
            if (output.isErr) {
                answer.refuse(context.request, output.error)
                return
            }
            input = output.value
            if (last && !streamed) answer.append(input)
        }
        context.request.guard.answered()
        answer.finish()
    }

    private fun Answer.refuse(request: InboundRequest, refusal: Refusal) {
        if (!ended) refuse(request.guard.settle(refusal))
    }

    private fun deadlineExceeded(context: StageContext): Refusal {
        val total = context.request.deadlineMs - context.request.arrivedMs
        return Refusal(RefusalKind.DEADLINE_EXCEEDED, "no whole answer within $total ms", context.outcome())
    }

    private fun StageContext.outcome(): RunOutcome = if (anythingSent) RunOutcome.UNKNOWN else RunOutcome.NOT_RUN

    private fun close(request: InboundRequest, answer: Answer) {
        val took = timers.nowMs() - request.arrivedMs
        val refusal = (answer.state.value.ending as? AnswerItem.Refused)?.refusal
        history.update(answer.requestId) { it.copy(tookMs = took, refusal = refusal) }
        if (refusal == null) {
            log.write(Event.REQUEST_SERVED, "request" to answer.requestId, "tookMs" to took)
        } else {
            log.write(
                Event.REQUEST_REFUSED,
                "request" to answer.requestId,
                "kind" to refusal.kind.wireName,
                "outcome" to refusal.outcome,
                "detail" to refusal.detail,
            )
        }
    }

    private companion object {
        const val ABANDONED_AFTER_MS = 2_000L
    }
}
