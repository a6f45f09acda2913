package io.oriolehall.entry.stages

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.client.HttpClient
import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.delete
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import io.ktor.utils.io.readUTF8Line
import io.oriolehall.model.Endpoint
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.StageCall
import io.oriolehall.model.StageResult
import io.oriolehall.model.StreamEnd
import io.oriolehall.model.StreamLine
import io.oriolehall.model.WireJson
import kotlinx.coroutines.CancellationException
import kotlinx.serialization.SerializationException
import java.io.IOException
import java.net.ConnectException
import java.security.MessageDigest

/**
 * Calls endpoints over HTTP and turns every way in which a call can end into a result or a typed failure.
 *
 * @param dialled address to dial for a published one.
 */
class EndpointClient(
    private val http: HttpClient,
    private val dialled: (NetworkAddress) -> NetworkAddress,
) {
    /** Runs [call] at [endpoint], whose answer comes whole. */
    suspend fun run(endpoint: Endpoint, call: StageCall): Result<StageResult, StageFailure> =
        post(endpoint, call) { response ->
            val result = WireJson.decodeFromString(StageResult.serializer(), response.bodyAsText())
            if (result.requestId == call.requestId && result.stage == call.stage && result.attempt == call.attempt) {
                Ok(result)
            } else {
                Err(StageFailure.Mismatched("${endpoint.id} answered ${result.requestId}/${result.stage}"))
            }
        }

    /** Runs [call] at the generating [endpoint] and hands each piece of text to [onText], in order and without gaps. */
    suspend fun generate(
        endpoint: Endpoint,
        call: StageCall,
        onText: suspend (String) -> Unit,
    ): Result<StageResult, StageFailure> = post(endpoint, call) { response ->
        val reader = StreamReader(endpoint, call, onText)
        val body = response.bodyAsChannel()
        var outcome: Result<StageResult, StageFailure>? = null
        while (outcome == null) {
            val line = body.readUTF8Line() ?: return@post Err(reader.cut())
            outcome = reader.take(WireJson.decodeFromString(StreamLine.serializer(), line))
        }
        outcome
    }

    /** Asks [endpoint] to stop the call [attempt] of the request. Failures do not matter. */
    suspend fun cancel(endpoint: Endpoint, call: StageCall) {
        try {
            http.delete(url(endpoint, "/streams/${call.requestId}.${call.attempt}"))
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            return
        }
    }

    private suspend fun post(
        endpoint: Endpoint,
        call: StageCall,
        read: suspend (HttpResponse) -> Result<StageResult, StageFailure>,
    ): Result<StageResult, StageFailure> = try {
        http.preparePost(url(endpoint, "/run")) { setCall(call) }.execute { response ->
            when (response.status) {
                HttpStatusCode.OK -> read(response)

                HttpStatusCode.TooManyRequests, HttpStatusCode.ServiceUnavailable ->
                    Err(StageFailure.Declined("${endpoint.id} declined with ${response.status.value}"))

                else -> Err(StageFailure.Failed("${endpoint.id} answered ${response.status.value}"))
            }
        }
    } catch (e: ConnectException) {
        Err(StageFailure.Unreachable("${endpoint.id} refused the connection"))
    } catch (e: ConnectTimeoutException) {
        Err(StageFailure.Unreachable("${endpoint.id} did not take the connection in time"))
    } catch (e: SerializationException) {
        Err(StageFailure.Mismatched("${endpoint.id} answered what is not a result: ${e.message}"))
    } catch (e: IOException) {
        Err(StageFailure.Lost("${endpoint.id} broke the connection: ${e.message}"))
    }

    private fun HttpRequestBuilder.setCall(call: StageCall) {
        contentType(ContentType.Application.Json)
        setBody(WireJson.encodeToString(StageCall.serializer(), call))
    }

    private fun url(endpoint: Endpoint, path: String): String = "http://${dialled(endpoint.address)}$path"

    /** Checks the lines of a stream against the call and against one another. */
    private class StreamReader(
        private val endpoint: Endpoint,
        private val call: StageCall,
        private val onText: suspend (String) -> Unit,
    ) {
        private val digest = MessageDigest.getInstance("SHA-256")
        private val text = StringBuilder()
        private var length = 0L

        suspend fun take(line: StreamLine): Result<StageResult, StageFailure>? {
            val end = line.end
            return when {
                !line.belongs() -> Err(StageFailure.Mismatched("${endpoint.id} streamed ${line.requestId}"))

                end != null -> finish(end)

                line.offset != length -> Err(StageFailure.Mismatched("${endpoint.id} left a gap at byte $length"))

                else -> {
                    append(line.text)
                    null
                }
            }
        }

        fun cut() = StageFailure.Lost("${endpoint.id} ended the stream at byte $length without its end mark")

        private fun StreamLine.belongs() =
            requestId == call.requestId && stage == call.stage && attempt == call.attempt

        private suspend fun append(piece: String) {
            val bytes = piece.encodeToByteArray()
            digest.update(bytes)
            length += bytes.size
            text.append(piece)
            onText(piece)
        }

        private fun finish(end: StreamEnd): Result<StageResult, StageFailure> {
            val whole = end.length == length && end.sha256 == digest.digest().toHexString()
            if (!whole) return Err(StageFailure.Mismatched("${endpoint.id} streamed $length of ${end.length} bytes"))
            return Ok(StageResult(call.requestId, call.stage, call.attempt, text.toString(), end.usage))
        }
    }
}
