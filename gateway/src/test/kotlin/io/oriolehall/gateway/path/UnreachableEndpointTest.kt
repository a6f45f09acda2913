package io.oriolehall.gateway.path

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.startsWith

class UnreachableEndpointTest {
    @Test
    fun `a request that finds no connection is not refused while another endpoint has one`() {
        val down = List(4) { ScriptedEndpoint { respond() } }
        val up = ScriptedEndpoint { respond() }
        GatewayUnderTest(down + up).use { gateway ->
            gateway.awaitReady()
            down.forEach(ScriptedEndpoint::close)
            expectThat(gateway.request("/once/x")).startsWith("HTTP/1.1 200")
            expectThat(up.requests).isEqualTo(1)
        }
        up.close()
    }
}
