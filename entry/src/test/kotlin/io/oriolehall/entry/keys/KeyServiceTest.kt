package io.oriolehall.entry.keys

import io.ktor.network.selector.SelectorManager
import io.oriolehall.model.Incarnation
import io.oriolehall.model.InstanceId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.OrganisationId
import io.oriolehall.peer.PeerClient
import io.oriolehall.policy.config.ConfigSnapshot
import io.oriolehall.policy.keys.KeyHolder
import io.oriolehall.policy.keys.KeyRules
import io.oriolehall.runtime.CoroutineTimerService
import io.oriolehall.runtime.EventLog
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

class KeyServiceTest {
    @Test
    fun `tokens that are minted at the same time on several threads are never the same`() {
        val scope = CoroutineScope(Dispatchers.Default)
        val selector = SelectorManager(Dispatchers.IO)
        val log = EventLog { _, _ -> }
        val address = NetworkAddress("127.0.0.1", 1)
        val service = KeyService(
            self = KeyHolder(InstanceId("i"), Incarnation(1, 1), address),
            secret = "secret",
            rules = KeyRules(),
            config = { ConfigSnapshot() },
            peers = PeerClient(selector, scope),
            dialled = { it },
            addressOf = { null },
            timers = CoroutineTimerService(scope, log),
            log = log,
        )
        val tokens = ConcurrentHashMap.newKeySet<String>()
        val threads = List(THREADS) {
            thread { repeat(TOKENS) { tokens += service.mint(OrganisationId("o")).token } }
        }
        threads.forEach(Thread::join)
        scope.cancel()
        selector.close()
        expectThat(tokens.size).isEqualTo(THREADS * TOKENS)
    }

    private companion object {
        const val THREADS = 8
        const val TOKENS = 20_000
    }
}
