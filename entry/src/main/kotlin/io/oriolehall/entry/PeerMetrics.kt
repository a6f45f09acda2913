package io.oriolehall.entry

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import io.oriolehall.peer.PeerTraffic
import java.util.concurrent.ConcurrentHashMap

/** Counts the bytes of frames between instances by channel and direction, without TCP's own headers. */
internal class PeerMetrics(private val registry: MeterRegistry) : PeerTraffic {
    private val sent = ConcurrentHashMap<String, Counter>()
    private val received = ConcurrentHashMap<String, Counter>()

    override fun sent(channel: String, bytes: Int) = count(sent, "sent", channel, bytes)

    override fun received(channel: String, bytes: Int) = count(received, "received", channel, bytes)

    private fun count(counters: ConcurrentHashMap<String, Counter>, direction: String, channel: String, bytes: Int) {
        val counter = counters.computeIfAbsent(channel) {
            registry.counter("oriolehall.peer.bytes", "direction", direction, "channel", channel)
        }
        counter.increment(bytes.toDouble())
    }
}
