package io.oriolehall.gateway.explain

import io.oriolehall.dispatch.config.Organisation
import io.oriolehall.dispatch.config.PieceLimits
import io.oriolehall.dispatch.config.Route
import io.oriolehall.dispatch.config.RouteKind
import io.oriolehall.dispatch.config.RouteTarget
import io.oriolehall.dispatch.config.Service
import io.oriolehall.dispatch.config.StageSpec
import io.oriolehall.gateway.path.GatewayUnderTest
import io.oriolehall.gateway.path.ScriptedEndpoint
import io.oriolehall.model.InstanceId
import io.oriolehall.model.OrganisationId
import io.oriolehall.model.WireJson
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isIn
import strikt.assertions.isNull
import strikt.assertions.isTrue
import strikt.assertions.startsWith
import java.net.HttpURLConnection
import java.net.Socket
import java.net.URI

/** Explanations by a gateway on the loopback interface. */
class ExplainTest {
    private fun withEndpoints(
        count: Int,
        script: ScriptedEndpoint.Exchange.(Int) -> Unit,
        test: (List<ScriptedEndpoint>) -> Unit,
    ) {
        val endpoints = List(count) { i -> ScriptedEndpoint { script(i) } }
        try {
            test(endpoints)
        } finally {
            endpoints.forEach(ScriptedEndpoint::close)
        }
    }

    private fun GatewayUnderTest.fetch(query: String): Pair<Int, String> {
        val url = URI("http://$metricsAddress/explain$query").toURL()
        val connection = url.openConnection() as HttpURLConnection
        val status = connection.responseCode
        val stream = if (status < 400) connection.inputStream else connection.errorStream
        return status to stream.use { it.readBytes().decodeToString() }
    }

    /** The status line for a request target that URL classes do not accept, or for another method. */
    private fun GatewayUnderTest.statusOf(target: String, method: String = "GET"): String =
        Socket(metricsAddress.host, metricsAddress.port).use { socket ->
            socket.getOutputStream().write("$method $target HTTP/1.1\r\nHost: h\r\n\r\n".encodeToByteArray())
            socket.getInputStream().bufferedReader().readLine()
        }

    private fun GatewayUnderTest.explain(query: String): Explanation {
        val (status, body) = fetch(query)
        expectThat(status).isEqualTo(200)
        return WireJson.decodeFromString(Explanation.serializer(), body)
    }

    /** Everything in an explanation but the age of the configuration, which changes by itself. */
    private fun GatewayUnderTest.state(query: String) = explain(query).copy(configuration = null)

    private fun coldSent(explanation: Explanation) =
        explanation.services.single().endpoints.sumOf { it.coldSent ?: 0 }

    /** Requests cease to count towards the limit for cold endpoints after a second, also without an explanation. */
    private fun withoutColdSent(explanation: Explanation) = explanation.copy(
        services = explanation.services.map { service ->
            service.copy(endpoints = service.endpoints.map { it.copy(coldSent = null) })
        },
    )

    private fun bodyOf(response: String) = response.substringAfter("\r\n\r\n")

    /** Guards against an explanation that is made by other rules than the choice for a request. */
    @Test
    fun `the explained endpoint is the one that the request then gets`() =
        withEndpoints(5, { respond(body = "e$it") }) { endpoints ->
            GatewayUnderTest(endpoints).use { gateway ->
                gateway.awaitReady()
                val explained = (1..30).map { i ->
                    val chosen = gateway.explain(
                        "?route=/once/&prompt-parts=p$i:10,q:1",
                    ).services.single().chosen?.value
                    expectThat(bodyOf(gateway.request("/once/x", headers = "P: p$i:10,q:1\r\n"))).isEqualTo(chosen)
                    chosen
                }
                expectThat(explained.distinct()).hasSize(5)
                val chosen = gateway.explain("?route=/once/").services.single().chosen?.value
                expectThat(bodyOf(gateway.request("/once/x"))).isEqualTo(chosen)
            }
        }

    /**
     * Guards against an explanation that sends something, takes a permit of the retry budget or of the limit for cold
     * endpoints, or moves a counter.
     */
    @Test
    fun `explanations send nothing and change nothing`() = withEndpoints(2, { respond(body = "e$it") }) { endpoints ->
        GatewayUnderTest(
            endpoints,
            coldPerSecond = 3.0,
            // The share of this allowance grows with the time since the start; the ratio alone stays the same.
            retryAllowance = 0.0,
            otherServices = listOf(WORKER),
            otherRoutes = listOf(STAGED),
        )
            .use { gateway ->
                gateway.awaitReady()
                val queries = listOf("?route=/plain/", "?route=staged&pieces=2,1")
                val unused = queries.map { gateway.state(it) }
                val metrics = gateway.metrics()
                repeat(30) { queries.forEach { gateway.fetch(it) } }
                expectThat(queries.map { gateway.state(it) }).isEqualTo(unused)
                expectThat(gateway.metrics()).isEqualTo(metrics)
                expectThat(endpoints.sumOf { it.requests + it.openConnections }).isEqualTo(0)

                repeat(2) { expectThat(gateway.request("/plain/x")).startsWith("HTTP/1.1 200") }
                val used = gateway.state("?route=/plain/")
                expectThat(used.services.single().retriesLeft).isEqualTo(16)
                expectThat(coldSent(used)).isIn(0..2)
                val connections = endpoints.sumOf { it.openConnections }
                repeat(30) { gateway.fetch("?route=/plain/") }
                val after = gateway.state("?route=/plain/")
                expectThat(coldSent(after)).isIn(0..coldSent(used))
                expectThat(withoutColdSent(after)).isEqualTo(withoutColdSent(used))
                expectThat(endpoints.sumOf { it.openConnections }).isEqualTo(connections)
                expectThat(endpoints.sumOf { it.requests }).isEqualTo(2)
            }
    }

    @Test
    fun `endpoints that may not receive the request are named with the obstacle and its end`() = withEndpoints(4, { i ->
        if (i == 1) respond("503 Service Unavailable", "", "N: 1\r\nRetry-After: 30\r\n") else respond(body = "e$i")
    }) { endpoints ->
        GatewayUnderTest(endpoints, draining = setOf("e0")).use { gateway ->
            gateway.awaitReady()
            var sent = 0
            while (endpoints[1].requests == 0) gateway.request("/plain/x", headers = "P: p${sent++}:1,q:1\r\n")
            val explained = gateway.explain("?route=/plain/").services.single()
            val byId = explained.endpoints.associateBy { it.endpoint.value }
            expectThat(explained.endpoints.map { it.endpoint.value }).containsExactly("e0", "e1", "e2", "e3")
            expectThat(byId.getValue("e0").obstacle).isEqualTo("draining")
            expectThat(byId.getValue("e1").obstacle).isEqualTo("paused")
            expectThat(byId.getValue("e1").obstacleEndsInMs ?: 0L).isIn(25_000L..31_000L)
            expectThat(byId.getValue("e2").allowed).isTrue()
            expectThat(byId.getValue("e2").rank).isEqualTo(0)
            expectThat(explained.chosen?.value in setOf("e2", "e3")).isTrue()
        }
    }

    @Test
    fun `when no endpoint can be used, the request is explained as refused`() =
        withEndpoints(1, { respond() }) { endpoints ->
            GatewayUnderTest(endpoints, draining = setOf("e0")).use { gateway ->
                gateway.awaitReady()
                val explained = gateway.explain("?route=/once/")
                expectThat(explained.admission.admitted).isFalse()
                expectThat(explained.admission.refusals.single().kind).isEqualTo("no_endpoint")
                expectThat(explained.services.single().chosen).isNull()
                expectThat(gateway.request("/once/x")).startsWith("HTTP/1.1 503")
            }
        }

    @Test
    fun `of two services, each has its share, and one without endpoints refuses with its share`() =
        withEndpoints(1, { respond() }) { endpoints ->
            val split = STAGED.copy(
                name = "split",
                stages = emptyList(),
                targets = listOf(RouteTarget("s", 3), RouteTarget("w", 1)),
            )
            GatewayUnderTest(endpoints, otherServices = listOf(WORKER), otherRoutes = listOf(split)).use { gateway ->
                gateway.awaitReady()
                val explained = gateway.explain("?route=split")
                expectThat(explained.services.map { it.share }).containsExactly(0.75, 0.25)
                expectThat(explained.admission.admitted).isTrue()
                expectThat(explained.admission.refusalProbability).isEqualTo(0.25)
                expectThat(explained.admission.refusals.single().service).isEqualTo("w")
            }
        }

    @Test
    fun `each stage has its queue owner and expected time, and the admission its comparison`() =
        withEndpoints(1, { respond() }) { endpoints ->
            val routes = listOf(STAGED, STAGED.copy(name = "tight", prefix = "/tight/", objectiveMs = 800))
            GatewayUnderTest(endpoints, otherServices = listOf(WORKER), otherRoutes = routes).use { gateway ->
                gateway.awaitReady()
                val explained = gateway.explain("?route=staged&pieces=2,1")
                expectThat(explained.stages.map { it.pieces }).containsExactly(2, 1)
                expectThat(explained.stages.map { it.expectedMs }).containsExactly(410L, 410L)
                expectThat(explained.stages.flatMap { it.owners }.map { it.instance }.distinct())
                    .containsExactly(InstanceId("i"))
                expectThat(explained.stageTime?.expectedMs).isEqualTo(1_020)
                expectThat(explained.stageTime?.maxExpectedMs).isEqualTo(8_000)
                expectThat(explained.admission.refusalProbability).isEqualTo(0.0)
                // 1,020 ms of 800 ms is 0.35 of the way through the band from 1.1 to 1.6.
                val tight = gateway.explain("?route=tight&pieces=2,1").admission
                expectThat(tight.refusalProbability).isIn(0.34..0.37)
                expectThat(tight.refusals.single().kind).isEqualTo("overloaded")
                expectThat(gateway.explain("?route=staged&pieces=0,0").stageTime).isNull()
            }
        }

    @Test
    fun `an unknown name or a missing parameter is an error that names the remedy`() =
        withEndpoints(1, { respond() }) { endpoints ->
            GatewayUnderTest(endpoints, otherServices = listOf(WORKER), otherRoutes = listOf(STAGED)).use { gateway ->
                gateway.awaitReady()
                val unknownRoute = gateway.fetch("?route=nowhere")
                expectThat(unknownRoute.first).isEqualTo(404)
                expectThat(unknownRoute.second).contains("\"nowhere\"").contains("/plain/").contains("staged")
                val unknownOrganisation = gateway.fetch("?route=staged&organisation=nobody&pieces=1,1")
                expectThat(unknownOrganisation.first).isEqualTo(404)
                expectThat(unknownOrganisation.second).contains("\"nobody\"")
                for (query in listOf("", "?route=", "?route=staged", "?route=staged&pieces=1")) {
                    expectThat(gateway.fetch(query).first).isEqualTo(400)
                }
                expectThat(gateway.statusOf("/explain?route=%zz")).startsWith("HTTP/1.1 400")
                expectThat(gateway.statusOf("/explain?route=/plain/", "POST")).startsWith("HTTP/1.1 405")
                expectThat(gateway.fetch("?route=/plain/&prompt-parts=a%0d%0aX:1").first).isEqualTo(400)
            }
        }

    @Test
    fun `a request without an organisation is refused where keys are required, and no key is shown`() =
        withEndpoints(1, { respond() }) { endpoints ->
            val organisations = listOf(Organisation(OrganisationId("o"), listOf("secret-key"), priority = 2))
            GatewayUnderTest(endpoints, organisations = organisations).use { gateway ->
                gateway.awaitReady()
                val anonymous = gateway.explain("?route=/plain/").admission
                expectThat(anonymous.admitted).isFalse()
                expectThat(anonymous.refusals.map { it.status }).containsExactly(401)
                val known = gateway.explain("?route=/plain/&organisation=o")
                expectThat(known.admission.admitted).isTrue()
                expectThat(known.priority).isEqualTo(2)
                for (query in listOf(
                    "?route=/plain/&organisation=o",
                    "?route=x",
                    "?route=/plain/&organisation=secret",
                )) {
                    expectThat("secret-key" in gateway.fetch(query).second).isFalse()
                }
            }
        }

    @Test
    fun `an instance without a configuration gives that as the reason`() {
        GatewayUnderTest(emptyList(), configured = false).use { gateway ->
            val explained = gateway.explain("?route=any")
            expectThat(explained.configuration).isNull()
            expectThat(explained.admission.admitted).isFalse()
            expectThat(explained.admission.refusals.single().kind).isEqualTo("no_configuration")
        }
    }

    /** Guards against an explanation whose age of the configuration is not the one that keys are checked by. */
    @Test
    fun `an unconfirmed configuration is the reason for a refusal`() = withEndpoints(1, { respond() }) { endpoints ->
        var reachable = true
        GatewayUnderTest(
            endpoints,
            keyRevocationMs = 1_200,
            organisations = GatewayUnderTest.KEYED_ORGANISATIONS,
            storeReachable = { reachable },
        ).use { gateway ->
            gateway.awaitReady()
            val confirmed = gateway.explain("?route=/plain/&organisation=o")
            expectThat(confirmed.admission.admitted).isTrue()
            expectThat(confirmed.configuration?.confirmedMsAgo ?: -1).isIn(0L..800L)
            reachable = false
            Thread.sleep(1_500)
            val unconfirmed = gateway.explain("?route=/plain/&organisation=o").admission
            expectThat(unconfirmed.refusals.map { it.kind }).containsExactly("unconfirmed")
        }
    }

    private companion object {
        val WORKER = Service(
            "w",
            "/",
            maxConnections = 0,
            coldPerSecond = 0.0,
            pieces = PieceLimits(
                1,
                1,
                callMs = 400.0,
                pieceMs = 10.0,
                resultMemoryBytes = 1_000,
                resultLifetimeMs = 4_000,
            ),
        )

        val STAGED = Route(
            name = "staged",
            host = "h",
            prefix = "/staged/",
            kind = RouteKind.IDEMPOTENT,
            timeoutMs = 10_000,
            objectiveMs = 2_000,
            priority = 0,
            targets = listOf(RouteTarget("s", 1)),
            maxAttempts = 1,
            stages = listOf(StageSpec("w", emptyList(), 1), StageSpec("w", listOf(0), 1)),
        )
    }
}
