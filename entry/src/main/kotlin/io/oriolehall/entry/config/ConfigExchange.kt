package io.oriolehall.entry.config

import io.oriolehall.model.NetworkAddress
import io.oriolehall.peer.PeerChannel
import io.oriolehall.peer.PeerClient
import io.oriolehall.peer.PeerServer
import io.oriolehall.runtime.Event
import io.oriolehall.runtime.EventLog
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.Serializable

/** The digest's buckets of an instance that asks for what it lacks. */
@Serializable
data class DifferenceQuery(val buckets: List<Long>)

/**
 * Objects of the buckets that differ.
 *
 * @property revision platform revision up to which the answering instance has taken in everything.
 * @property ready true when the answering instance is ready, so that its configuration may be relied on.
 */
@Serializable
data class ConfigBatch(val revision: Long, val ready: Boolean, val entries: List<ConfigEntry>)

/** Brings configuration from other instances. Runs on the control thread. */
class ConfigExchange(
    private val store: ConfigStore,
    private val reader: ConfigReader,
    private val client: PeerClient,
    private val scope: CoroutineScope,
    private val log: EventLog,
    private val ready: () -> Boolean,
) {
    private val pulling = mutableSetOf<NetworkAddress>()

    /** True once the whole configuration of an instance that was ready has been taken in. */
    @Volatile
    var caughtUp = false
        private set

    /** Lets other instances ask. */
    fun serve(server: PeerServer) {
        server.serve(DIFFERENCE) { query, emit ->
            val state = store.state.value
            val missing = state.objectsInBuckets(state.digest.differingBuckets(query.buckets)).map(ConfigEntry::of)
            missing.chunked(ENTRIES_PER_BATCH).ifEmpty { listOf(emptyList()) }.forEach {
                emit(ConfigBatch(reader.revision, ready(), it))
            }
        }
    }

    /**
     * Notes that the instance [source] at [address] has a configuration of digest [digest]. While the platform answers,
     * the difference is usually a ticket that is about to be read from there, and it gets the time to vanish.
     */
    fun noteDigest(source: String, address: NetworkAddress, digest: Long) {
        if (digest == store.state.value.digest.combined || !pulling.add(address)) return
        scope.launch {
            try {
                if (reader.reachable) delay(GRACE_MS)
                if (digest != store.state.value.digest.combined) pull(source, address)
            } finally {
                pulling -= address
            }
        }
    }

    /** Takes in what the instance [source] at [address] has and this one lacks; false when it does not answer. */
    suspend fun pull(source: String, address: NetworkAddress): Boolean {
        val query = DifferenceQuery(store.state.value.digest.buckets)
        var last: ConfigBatch? = null
        val outcome = client.stream(address, DIFFERENCE, query, TIMEOUT_MS) { batch ->
            store.merge(batch.entries.mapNotNull(::readable), source)
            last = batch
        }
        val complete = last?.takeIf { outcome.isOk } ?: return false
        if (complete.ready) {
            caughtUp = true
            reader.skipTo(complete.revision)
        }
        return true
    }

    private fun readable(entry: ConfigEntry) = entry.toVersion().let {
        if (it.isErr) log.write(Event.TICKET_REJECTED, "ticket" to entry.ticket, "remedy" to it.error)
        if (it.isOk) it.value else null
    }

    private companion object {
        val DIFFERENCE = PeerChannel.of<DifferenceQuery, ConfigBatch>("config.difference")
        const val ENTRIES_PER_BATCH = 100
        const val GRACE_MS = 400L
        const val TIMEOUT_MS = 2_000L
    }
}
