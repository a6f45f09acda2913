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

/** The reason why a call of an instance's operator API failed. */
sealed interface OperatorFailure {
    val message: String

    /** No response arrived. */
    data class Unreachable(override val message: String) : OperatorFailure

    /** The response has an error status, such as for an unknown request, or cannot be decoded. */
    data class BadResponse(override val message: String) : OperatorFailure
}

/** Reads the operator API of the instance at [address]. */
class OperatorClient(private val http: HttpClient, private val address: NetworkAddress) {
    suspend fun status(): Result<JsonElement, OperatorFailure> = read("/status", JsonElement.serializer())

    suspend fun audit(): Result<List<AuditRecord>, OperatorFailure> =
        read("/audit", ListSerializer(AuditRecord.serializer()))

    /** The record of request [id]. */
    suspend fun explain(id: String): Result<RequestRecord, OperatorFailure> =
        read("/explain/${id.encodeURLPathPart()}", RequestRecord.serializer())

    /** The records of the newest requests, newest first. */
    suspend fun newestRequests(): Result<List<RequestRecord>, OperatorFailure> =
        read("/explain", ListSerializer(RequestRecord.serializer()))

    private suspend fun <T> read(path: String, decoder: DeserializationStrategy<T>): Result<T, OperatorFailure> = try {
        val response = http.get("http://$address$path")
        val text = response.bodyAsText()
        if (response.status.isSuccess()) {
            Ok(WireJson.decodeFromString(decoder, text))
        } else {
            Err(OperatorFailure.BadResponse("$address responded with status ${response.status.value}: $text"))
        }
    } catch (e: CancellationException) {
        throw e
    } catch (e: SerializationException) {
        Err(OperatorFailure.BadResponse("$address is not an operator listener of this version: ${e.message}"))
    } catch (e: Exception) {
        Err(OperatorFailure.Unreachable("$address cannot be reached: ${e.message ?: e.toString()}"))
    }
}
