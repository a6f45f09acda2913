package io.oriolehall.harness.process

import io.oriolehall.model.NetworkAddress
import java.io.IOException
import java.net.InetSocketAddress
import java.net.ServerSocket
import kotlin.random.Random

/**
 * Picks ports for processes whose addresses must be known before they start. The ports lie below the range from which
 * the system takes ports for outgoing connections.
 */
class FreePorts(random: Random = Random.Default) {
    private var next = random.nextInt(FIRST, LAST)

    /** A local address that nothing listens at. */
    @Synchronized
    fun take(): NetworkAddress {
        repeat(LAST - FIRST) {
            next = if (next >= LAST) FIRST else next + 1
            if (isFree(next)) return NetworkAddress(HOST, next)
        }
        error("no free port between $FIRST and $LAST")
    }

    /** As strict as a listener that does not reuse addresses: connections of an earlier one may linger at the port. */
    private fun isFree(port: Int): Boolean = try {
        ServerSocket().use {
            it.reuseAddress = false
            it.bind(InetSocketAddress(HOST, port), 1)
        }
        true
    } catch (e: IOException) {
        false
    }

    private companion object {
        const val HOST = "127.0.0.1"
        const val FIRST = 12_000
        const val LAST = 32_000
    }
}
