package io.oriolehall.entry.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveChannel
import io.ktor.utils.io.readRemaining
import io.oriolehall.entry.requests.InboundRequest
import io.oriolehall.model.CallerHeaders
import io.oriolehall.model.Organisation
import io.oriolehall.model.Pipeline
import io.oriolehall.model.PipelineId
import io.oriolehall.model.PipelineRequest
import io.oriolehall.model.Refusal
import io.oriolehall.model.RefusalKind
import io.oriolehall.model.WireJson
import io.oriolehall.policy.config.ConfigSnapshot
import io.oriolehall.runtime.TimerService
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.readByteArray
import kotlinx.serialization.SerializationException

/** Reads a caller's request, with bounds on its size and on the time it may take to arrive. */
internal class RequestReader(private val config: () -> ConfigSnapshot, private val timers: TimerService) {
    /** The organisation that sent [call]. */
    fun authenticate(call: ApplicationCall): Result<Organisation, Refusal> {
        val organisation = Credentials.authenticate(call.request.headers[HttpHeaders.Authorization], config())
            ?: return refuse(RefusalKind.UNAUTHORISED, "no organisation is known by these credentials")
        return Ok(organisation)
    }

    /** The request to pipeline [name]. */
    suspend fun read(call: ApplicationCall, organisation: Organisation, name: String): Result<InboundRequest, Refusal> {
        val arrived = timers.nowMs()
        val pipeline = config().pipeline(PipelineId(name))
            ?: return refuse(RefusalKind.UNKNOWN_PIPELINE, "no pipeline is called $name")
        val given = deadline(call, organisation)
        if (given.isErr) return Err(given.error)
        val body = body(call)
        if (body.isErr) return Err(body.error)
        return Ok(inbound(call, organisation, pipeline, body.value, arrived, given.value))
    }

    private fun inbound(
        call: ApplicationCall,
        organisation: Organisation,
        pipeline: Pipeline,
        body: PipelineRequest,
        arrived: Long,
        deadlineMs: Long,
    ) = InboundRequest(
        organisation = organisation,
        pipeline = pipeline,
        body = body,
        arrivedMs = arrived,
        deadlineMs = arrived + deadlineMs,
        key = call.request.headers[CallerHeaders.IDEMPOTENCY_KEY],
    )

    private fun deadline(call: ApplicationCall, organisation: Organisation): Result<Long, Refusal> {
        val text = call.request.headers[CallerHeaders.DEADLINE_MS] ?: return Ok(organisation.defaultDeadlineMs)
        val ms = text.toLongOrNull()
        return when {
            ms == null || ms > MAX_DEADLINE_MS ->
                refuse(RefusalKind.BAD_REQUEST, "${CallerHeaders.DEADLINE_MS} must be 1 to $MAX_DEADLINE_MS, not $text")

            ms <= 0 -> refuse(RefusalKind.DEADLINE_EXCEEDED, "the deadline passed before the request arrived")

            else -> Ok(ms)
        }
    }

    private suspend fun body(call: ApplicationCall): Result<PipelineRequest, Refusal> {
        val bytes = withTimeoutOrNull(BODY_TIMEOUT_MS) {
            call.receiveChannel().readRemaining(MAX_BODY_BYTES + 1).readByteArray()
        } ?: return refuse(RefusalKind.BAD_REQUEST, "the body did not arrive within $BODY_TIMEOUT_MS ms")
        if (bytes.size > MAX_BODY_BYTES) {
            return refuse(RefusalKind.TOO_LARGE, "the body is longer than $MAX_BODY_BYTES bytes")
        }
        return try {
            Ok(
                WireJson.decodeFromString(
                    PipelineRequest.serializer(),
                    bytes.decodeToString(throwOnInvalidSequence = true),
                ),
            )
        } catch (e: SerializationException) {
            refuse(RefusalKind.BAD_REQUEST, "the body is not a request: ${e.message?.lineSequence()?.first()}")
        } catch (e: CharacterCodingException) {
            refuse(RefusalKind.BAD_REQUEST, "the body is not UTF-8")
        }
    }

    private fun <T> refuse(kind: RefusalKind, detail: String): Result<T, Refusal> = Err(Refusal(kind, detail))

    private companion object {
        const val MAX_BODY_BYTES = 256L * 1024
        const val MAX_DEADLINE_MS = 600_000L
        const val BODY_TIMEOUT_MS = 5_000L
    }
}
