package io.oriolehall.cli.client

import io.ktor.client.HttpClient
import io.ktor.client.plugins.HttpRequestTimeoutException
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.basicAuth
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.contentType
import io.ktor.http.encodeURLPathPart
import io.ktor.http.isSuccess
import io.oriolehall.model.CallerHeaders
import io.oriolehall.model.MintedToken
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.PipelineRequest
import io.oriolehall.model.Problem
import io.oriolehall.model.RequestId
import io.oriolehall.model.RunOutcome
import io.oriolehall.model.WireJson
import kotlinx.coroutines.CancellationException
import kotlinx.serialization.SerializationException
import java.net.ConnectException

/** The name of the calling organisation and one of its secrets. */
data class CallerCredentials(val organisation: String, val secret: String)

/**
 * Calls an entry instance on behalf of an organisation and verifies that each answer is complete. It never retries a
 * request.
 */
class CallerClient(
    private val http: HttpClient,
    private val address: NetworkAddress,
    private val credentials: CallerCredentials,
) {
    /**
     * Sends [request] to [pipeline].
     *
     * @param deadlineMs milliseconds from the arrival of the request; null selects the organisation's default.
     * @param key idempotency key, required by pipelines that must not run twice.
     * @param onText called with each chunk of the answer as it arrives.
     */
    suspend fun send(
        pipeline: String,
        request: PipelineRequest,
        deadlineMs: Long? = null,
        key: String? = null,
        onText: (String) -> Unit = {},
    ): CallOutcome = execute("", onText) {
        method = HttpMethod.Post
        url("http://$address/v1/pipelines/${pipeline.encodeURLPathPart()}")
        contentType(ContentType.Application.Json)
        deadlineMs?.let { header(CallerHeaders.DEADLINE_MS, it) }
        key?.let { header(CallerHeaders.IDEMPOTENCY_KEY, it) }
        setBody(WireJson.encodeToString(PipelineRequest.serializer(), request))
    }

    /** Fetches the rest of the answer to request [id], of which [received] has already arrived. */
    suspend fun resume(id: RequestId, received: String = "", onText: (String) -> Unit = {}): CallOutcome =
        execute(received, onText) {
            method = HttpMethod.Get
            url("http://$address/v1/requests/${id.value.encodeURLPathPart()}")
            header(CallerHeaders.LAST_EVENT_ID, received.encodeToByteArray().size)
        }

    /** Requests an idempotency key from the instance. Returns null if it issues none. */
    suspend fun mintToken(): MintedToken? {
        val response = http.post("http://$address/v1/tokens") { authenticate() }
        if (!response.status.isSuccess()) return null
        return WireJson.decodeFromString(MintedToken.serializer(), response.bodyAsText())
    }

    private fun HttpRequestBuilder.authenticate() = basicAuth(credentials.organisation, credentials.secret)

    private suspend fun execute(
        received: String,
        onText: (String) -> Unit,
        buildRequest: HttpRequestBuilder.() -> Unit,
    ): CallOutcome {
        val assembler = AnswerAssembler(received, Stopwatch(), onText)
        return try {
            http.prepareRequest {
                authenticate()
                buildRequest()
            }.execute { readAnswer(it, assembler) }
        } catch (e: ConnectException) {
            CallOutcome.Unreachable("$address: ${e.message}")
        } catch (e: HttpRequestTimeoutException) {
            assembler.incomplete("request timed out: ${e.message}")
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            assembler.incomplete(e.toString())
        }
    }

    private suspend fun readAnswer(response: HttpResponse, assembler: AnswerAssembler): CallOutcome {
        if (!response.status.isSuccess()) return readRefusal(response)
        val body = response.bodyAsChannel()
        while (true) {
            val event =
                body.readEvent()
                    ?: return assembler.incomplete("the connection was closed before the end of the answer")
            assembler.process(event)?.let { return it }
        }
    }

    private suspend fun readRefusal(response: HttpResponse): CallOutcome {
        val text = response.bodyAsText()
        val problem = try {
            WireJson.decodeFromString(Problem.serializer(), text)
        } catch (e: SerializationException) {
            fallbackProblem(response, text)
        }
        return CallOutcome.Refused(problem, problem.requestId?.let(::RequestId))
    }

    private fun fallbackProblem(response: HttpResponse, text: String) = Problem(
        type = "about:blank",
        title = response.status.description,
        status = response.status.value,
        detail = text,
        outcome = RunOutcome.UNKNOWN,
    )
}
