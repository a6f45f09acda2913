package io.oriolehall.gateway.path

import io.oriolehall.dispatch.config.Organisation
import io.oriolehall.model.OrganisationId
import io.oriolehall.runtime.Event
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.doesNotContain
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.startsWith
import java.util.concurrent.CopyOnWriteArrayList

/** Paths, names and ids of others, as they reach endpoints in requests of the gateway. */
class SentTextTest {
    private val received = CopyOnWriteArrayList<String>()

    /** The octets of [text] in UTF-8, each as one character, which is how [ScriptedEndpoint] reads a head. */
    private fun octets(text: String) = String(text.encodeToByteArray(), Charsets.ISO_8859_1)

    private fun organisation(name: String) = Organisation(OrganisationId(name), listOf("k"))

    private fun GatewayUnderTest.awaitConfiguration() {
        awaitReady()
    }

    /** Guards against paths that were changed on the way: each octet above 0x7F became two. */
    @Test
    fun `the octets of a path reach the endpoint unchanged`() {
        val endpoint = ScriptedEndpoint {
            received += head.first()
            respond()
        }
        GatewayUnderTest(listOf(endpoint)).use { gateway ->
            gateway.awaitConfiguration()
            expectThat(gateway.request("/plain/é/日?x=%41&y=ș+")).startsWith("HTTP/1.1 200")
        }
        expectThat(received).containsExactly("POST ${octets("/plain/é/日?x=%41&y=ș+")} HTTP/1.1")
    }

    /** Guards against names in which question marks had replaced characters: no endpoint knew itself by such an id. */
    @Test
    fun `the name of an organisation and the id of an endpoint are sent in UTF-8`() {
        val endpoint = ScriptedEndpoint {
            received += listOf(header("O").orEmpty(), header("E").orEmpty())
            respond()
        }
        val names = listOf(organisation("Făgăraș Lemn"))
        GatewayUnderTest(listOf(endpoint), organisations = names, endpointId = { "r&d é日$it" }).use { gateway ->
            gateway.awaitConfiguration()
            val answer = gateway.request("/plain/x", headers = "Authorization: Bearer k\r\n")
            expectThat(answer).startsWith("HTTP/1.1 200")
        }
        expectThat(received).containsExactly(octets("Făgăraș Lemn"), octets("r&d é日0"))
    }

    /** Guards against a connection that was closed without an answer, because the header could not be set. */
    @Test
    fun `a request of an organisation whose name cannot be sent is refused at once`() {
        val endpoint = ScriptedEndpoint { respond() }
        GatewayUnderTest(listOf(endpoint), organisations = listOf(organisation("a\nb"))).use { gateway ->
            gateway.awaitConfiguration()
            val answer = gateway.request("/plain/x", headers = "Authorization: Bearer k\r\n")
            expectThat(answer).startsWith("HTTP/1.1 503")
            expectThat(answer).contains("Retry-After: 5.000")
            expectThat(gateway.events).doesNotContain(Event.HTTP_HANDLER_FAILED)
        }
        expectThat(endpoint.requests).isEqualTo(0)
    }

    private fun stream(vararg events: String) =
        "HTTP/1.1 200 OK\r\nA: r1\r\nS: 1\r\nContent-Type: text/event-stream\r\nContent-Length: 1000\r\n\r\n" +
            events.joinToString("")

    /** Two endpoints whose streams break off after [event]; the second request gets the rest. */
    private fun brokenStream(event: String): List<ScriptedEndpoint> = List(2) {
        ScriptedEndpoint {
            received += header("L") ?: "none"
            if (received.size == 1) {
                write(stream(event))
                socket.close()
            } else {
                write(stream("id: last\ndata: b\n\n").replace("Content-Length: 1000", "Content-Length: 18"))
            }
        }
    }

    /** Guards against a stream that is continued after another event than the last one. */
    @Test
    fun `a stream is continued after an event whose id has characters beyond ASCII`() {
        GatewayUnderTest(brokenStream("id: ș1\ndata: a\n\n")).use { gateway ->
            gateway.awaitConfiguration()
            expectThat(gateway.request("/events/x")).contains("data: b")
        }
        expectThat(received).containsExactly("none", octets("ș1"))
    }

    /** Guards against a stream that begins again amid the first: its caller got the same events twice. */
    @Test
    fun `a stream whose last event has no id that can be sent is not continued`() {
        for (event in listOf("data: a\n\n", "id: \u0001\ndata: a\n\n", "id:\ndata: a\n\n")) {
            received.clear()
            GatewayUnderTest(brokenStream(event)).use { gateway ->
                gateway.awaitConfiguration()
                val answer = gateway.request("/events/x")
                expectThat(answer).contains("data: a")
                expectThat("data: b" in answer).isFalse()
                expectThat(gateway.events).doesNotContain(Event.HTTP_HANDLER_FAILED)
            }
            expectThat(received).containsExactly("none")
        }
    }
}
