package io.oriolehall.cli.client

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import io.ktor.http.encodeURLPathPart
import io.ktor.http.isSuccess
import io.oriolehall.entry.explain.RequestRecord
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.WireJson
import io.oriolehall.runtime.AuditRecord
import kotlinx.coroutines.CancellationException
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.JsonElement

/** Why an instance's operators' interface gave no answer. */
sealed interface OperatorFailure {
    val message: String

    /** No answer came. */
    data class Unreachable(override val message: String) : OperatorFailure

    /** The instance has no such thing, or its answer is not understood. */
    data class NoAnswer(override val message: String) : OperatorFailure
}

/** Reads the operators' interface of one instance at [address]. */
class OperatorClient(private val http: HttpClient, private val address: NetworkAddress) {
    suspend fun status(): Result<JsonElement, OperatorFailure> = read("/status", JsonElement.serializer())

    suspend fun audit(): Result<List<AuditRecord>, OperatorFailure> =
        read("/audit", ListSerializer(AuditRecord.serializer()))

    /** What happened to request [id]. */
    suspend fun explain(id: String): Result<RequestRecord, OperatorFailure> =
        read("/explain/${id.encodeURLPathPart()}", RequestRecord.serializer())

    /** The newest requests, newest first. */
    suspend fun newestRequests(): Result<List<RequestRecord>, OperatorFailure> =
        read("/explain", ListSerializer(RequestRecord.serializer()))

    private suspend fun <T> read(path: String, type: DeserializationStrategy<T>): Result<T, OperatorFailure> = try {
        val response = http.get("http://$address$path")
        val text = response.bodyAsText()
        if (response.status.isSuccess()) {
            Ok(WireJson.decodeFromString(type, text))
        } else {
            Err(OperatorFailure.NoAnswer("$address answered ${response.status.value}: $text"))
        }
    } catch (e: CancellationException) {
        throw e
    } catch (e: SerializationException) {
        Err(OperatorFailure.NoAnswer("$address is no operators' listener of this version: ${e.message}"))
    } catch (e: Exception) {
        Err(OperatorFailure.Unreachable("$address cannot be reached: ${e.message ?: e.toString()}"))
    }
}
