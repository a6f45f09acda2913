package io.oriolehall.entry.stages

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.client.HttpClient
import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.delete
import io.ktor.client.request.prepareGet
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.HttpStatement
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import io.ktor.utils.io.InternalAPI
import io.oriolehall.model.Endpoint
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.StageCall
import io.oriolehall.model.StageKind
import io.oriolehall.model.StageResult
import io.oriolehall.model.WireJson
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import java.io.IOException
import java.net.ConnectException
import kotlin.time.TimeSource

/**
 * Calls endpoints over HTTP and turns every way in which a call can end into a result or a typed failure.
 *
 * @param dialled address to dial for a published one.
 */
class EndpointClient(
    private val http: HttpClient,
    private val dialled: (NetworkAddress) -> NetworkAddress,
    private val timeouts: StreamTimeouts = StreamTimeouts(),
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

    /**
     * Runs [call] at the generating [endpoint] and adds what it streams to [text]. When the connection breaks or falls
     * silent, the stream is taken up again at the same endpoint for as long as that brings it forward. Whoever gives a
     * stream up calls [stop].
     *
     * A token is read by the coroutine that takes it off the connection: the body is not copied through a second
     * channel and no other thread is woken.
     */
    @OptIn(InternalAPI::class)
    suspend fun generate(
        endpoint: Endpoint,
        call: StageCall,
        text: GeneratedText,
        onFirstLine: () -> Unit = {},
    ): Result<StageResult, StageFailure> {
        val reader = StreamReader(endpoint.id, call, text, onFirstLine)
        suspend fun begin() = post(endpoint, call) { reader.read(it.rawContent) }
        var outcome = watched(reader, firstLineMs(call)) { begin() }
        var resumedFrom = -1L
        while (outcome.isErr && outcome.error is StageFailure.Lost && reader.position > resumedFrom) {
            resumedFrom = reader.position
            outcome = watched(reader, timeouts.idleMs) { resume(endpoint, call, reader) }
        }
        return outcome
    }

    @OptIn(InternalAPI::class)
    private suspend fun resume(
        endpoint: Endpoint,
        call: StageCall,
        reader: StreamReader,
    ): Result<StageResult, StageFailure> {
        val path = "/streams/${call.requestId}.${call.attempt}?offset=${reader.position}"
        val outcome = exchange(endpoint, { http.prepareGet(url(endpoint, path)) }) { reader.read(it.rawContent) }
        if (outcome.isErr && !outcome.error.ran) return Err(StageFailure.Lost(outcome.error.message))
        return outcome
    }

    private fun firstLineMs(call: StageCall) = (call.remainingMs * timeouts.firstLineShare).toLong()

    /**
     * Runs [exchange] and gives it up as lost when [reader] gets no line for too long. The watch wakes when the silence
     * could first be too long, and not for each line.
     */
    private suspend fun watched(
        reader: StreamReader,
        firstLineMs: Long,
        exchange: suspend () -> Result<StageResult, StageFailure>,
    ): Result<StageResult, StageFailure> = coroutineScope {
        val begun = TimeSource.Monotonic.markNow()
        val work = async(Dispatchers.Unconfined) { exchange() }
        val watch = launch {
            while (true) {
                val silentMs = minOf(begun.elapsedNow(), reader.lastLineAt.elapsedNow()).inWholeMilliseconds
                val leftMs = (if (reader.started) timeouts.idleMs else firstLineMs) - silentMs
                if (leftMs < 0) break
                delay(minOf(leftMs, timeouts.idleMs) + 1)
            }
            work.cancel()
        }
        try {
            work.await()
        } catch (e: CancellationException) {
            ensureActive()
            Err(StageFailure.Lost("the stream fell silent at byte ${reader.position}"))
        } finally {
            watch.cancel()
        }
    }

    /**
     * Asks [endpoint] to stop [call] and returns whether it surely does not run it any more. Only streams can be
     * stopped; of other calls nothing is known unless the endpoint is gone.
     */
    suspend fun stop(endpoint: Endpoint, kind: StageKind, call: StageCall): Boolean = try {
        val status = http.delete(url(endpoint, "/streams/${call.requestId}.${call.attempt}")).status
        kind == StageKind.GENERATE && (status.isSuccess() || status == HttpStatusCode.NotFound)
    } catch (e: ConnectException) {
        true
    } catch (e: IOException) {
        false
    }

    private suspend fun post(
        endpoint: Endpoint,
        call: StageCall,
        read: suspend (HttpResponse) -> Result<StageResult, StageFailure>,
    ): Result<StageResult, StageFailure> =
        exchange(endpoint, { http.preparePost(url(endpoint, "/run")) { setCall(call) } }, read)

    private suspend fun exchange(
        endpoint: Endpoint,
        prepare: suspend () -> HttpStatement,
        read: suspend (HttpResponse) -> Result<StageResult, StageFailure>,
    ): Result<StageResult, StageFailure> = try {
        prepare().execute { response ->
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
}
