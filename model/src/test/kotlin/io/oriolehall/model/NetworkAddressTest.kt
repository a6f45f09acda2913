package io.oriolehall.model

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class NetworkAddressTest {
    @Test
    fun `an IP address and a port are an address`() {
        expectThat(NetworkAddress.parse("10.1.64.9:8080")).isEqualTo(NetworkAddress("10.1.64.9", 8080))
        expectThat(NetworkAddress.parse("0.0.0.0:65535")).isEqualTo(NetworkAddress("0.0.0.0", 65535))
    }

    /** Guards against a host name in published state: looking it up blocks the thread that carries the traffic. */
    @Test
    fun `a host name or other text is no address`() {
        val hosts = listOf("localhost", "a.example", "10.1.64", "10.1.64.256", "10.1.64.9.1", "", "u@10.1.64.9", "::1")
        val odd = listOf("10.1.64.9/x", " 10.1.64.9", "10.1.64.９")
        val ports = listOf("0", "65536", "+80", "８０", "")
        val texts = (hosts + odd).map { "$it:80" } + ports.map { "10.1.64.9:$it" } + "10.1.64.9"
        texts.forEach { expectThat(NetworkAddress.parse(it)).describedAs(it).isNull() }
    }
}
