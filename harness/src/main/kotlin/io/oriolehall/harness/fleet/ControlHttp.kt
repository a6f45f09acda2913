package io.oriolehall.harness.fleet

import io.ktor.client.HttpClient
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.delete
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.put
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import io.oriolehall.model.WireJson
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationStrategy

/** JSON calls to one control listener. An answer other than success is an error of the test or tool. */
internal class ControlHttp(private val http: HttpClient, private val address: String) {
    suspend fun <T> get(path: String, answer: DeserializationStrategy<T>): T =
        WireJson.decodeFromString(answer, http.get("http://$address$path").success().bodyAsText())

    suspend fun <T> put(path: String, serializer: SerializationStrategy<T>, body: T) {
        http.put("http://$address$path") { json(serializer, body) }.success()
    }

    suspend fun <T> post(path: String, serializer: SerializationStrategy<T>, body: T): String =
        http.post("http://$address$path") { json(serializer, body) }.success().bodyAsText()

    suspend fun postText(path: String, text: String): String =
        http.post("http://$address$path") { setBody(text) }.success().bodyAsText()

    suspend fun delete(path: String) {
        http.delete("http://$address$path").success()
    }

    private fun <T> HttpRequestBuilder.json(serializer: SerializationStrategy<T>, body: T) {
        contentType(ContentType.Application.Json)
        setBody(WireJson.encodeToString(serializer, body))
    }

    private suspend fun HttpResponse.success(): HttpResponse {
        check(status.isSuccess()) { "$address answered $status: ${bodyAsText()}" }
        return this
    }
}
