package io.oriolehall.gateway.quarantine

import io.oriolehall.model.NetworkAddress
import io.oriolehall.peer.PeerClient
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.launch

/** Exchanges what instances know of crashing requests. */
internal interface CrashExchange {
    /** Tells all other instances; [onCleared] gets the suspected fingerprints that others know to be sound, if any. */
    fun tell(notice: CrashNotice, onCleared: (ClearedFingerprints) -> Unit = {})

    /** Sends [query] to another instance. Returns null if there is no other one, or it does not answer. */
    suspend fun ask(query: CrashQuery): KnownCrashes?
}

/**
 * Exchange over the peer protocol.
 *
 * @param others addresses of the other live instances.
 * @param scope scope on the traffic thread.
 */
internal class PeerCrashExchange(
    private val client: PeerClient,
    private val others: () -> List<NetworkAddress>,
    private val scope: CoroutineScope,
) : CrashExchange {
    override fun tell(notice: CrashNotice, onCleared: (ClearedFingerprints) -> Unit) {
        scope.launch {
            val answers = others().map { async { client.call(it, CrashChannels.NOTICE, notice, CALL_TIMEOUT_MS) } }
            val cleared = answers.awaitAll().filter { it.isOk }.map { it.value.cleared }
            val all = cleared.fold(ClearedFingerprints(), ClearedFingerprints::plus)
            if (!all.isEmpty) onCleared(all)
        }
    }

    override suspend fun ask(query: CrashQuery): KnownCrashes? {
        val address = others().randomOrNull() ?: return null
        val answer = client.call(address, CrashChannels.KNOWN, query, CALL_TIMEOUT_MS)
        return if (answer.isOk) answer.value else null
    }

    private companion object {
        const val CALL_TIMEOUT_MS = 500L
    }
}
