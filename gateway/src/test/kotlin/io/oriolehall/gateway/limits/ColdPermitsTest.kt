package io.oriolehall.gateway.limits

import io.ktor.network.selector.SelectorManager
import io.oriolehall.dispatch.limits.ColdShare
import io.oriolehall.model.EndpointId
import io.oriolehall.model.Incarnation
import io.oriolehall.model.InstanceId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.ZoneId
import io.oriolehall.peer.PeerClient
import io.oriolehall.peer.PeerServer
import io.oriolehall.policy.membership.Member
import io.oriolehall.policy.membership.MemberState
import io.oriolehall.runtime.EventLog
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo

class ColdPermitsTest {
    @OptIn(ExperimentalCoroutinesApi::class)
    private val traffic = Dispatchers.Default.limitedParallelism(1)
    private val scope = CoroutineScope(traffic + SupervisorJob())
    private val selector = SelectorManager(Dispatchers.IO)
    private val server = PeerServer(selector, scope, EventLog { _, _ -> })
    private val endpoint = EndpointId("e")
    private val perSecond = 21.5
    private var owner: Member? = null

    private fun permits(self: String) = ColdPermits(InstanceId(self), { owner }, PeerClient(selector, scope), scope)

    private fun member(name: String, address: NetworkAddress) =
        Member(InstanceId(name), ZoneId("z"), address, Incarnation(1, 1), MemberState.ALIVE, 0)

    @AfterEach
    fun end() {
        server.close()
        scope.cancel()
        selector.close()
    }

    @Test
    fun `many instances together get no more than the owner may grant, and a new owner grants nothing at once`() =
        runBlocking<Unit> {
            permits("owner").start(server)
            owner = member("owner", server.start(NetworkAddress("127.0.0.1", 0)))
            val askers = List(5) { permits("asker-$it") }
            withContext(traffic) {
                expectThat(askers.first().ask(endpoint, perSecond)).describedAs("granted at once").isFalse()
                val grantedAtMs = mutableListOf<Long>()
                val startMs = nowMs()
                while (nowMs() - startMs < PLAYED_MS) {
                    for (asker in askers) if (asker.ask(endpoint, perSecond)) grantedAtMs += nowMs()
                    delay(20)
                }
                val most = grantedAtMs.maxOfOrNull { from -> grantedAtMs.count { it - from in 0 until 990 } } ?: 0
                expectThat(most).isLessThanOrEqualTo(ColdShare.permits(perSecond))
                expectThat(grantedAtMs.size).isGreaterThan(ColdShare.permits(perSecond))
            }
        }

    @Test
    fun `an owner that cannot be asked, or holds another one for the owner, grants nothing`() = runBlocking<Unit> {
        withContext(traffic) {
            owner = member("gone", NetworkAddress("127.0.0.1", 1))
            expectThat(permits("asker").ask(endpoint, perSecond)).isFalse()
            owner = null
            expectThat(permits("asker").ask(endpoint, perSecond)).isFalse()
        }
    }

    @Test
    fun `the rest of the bound is what the fixed parts leave`() {
        expectThat(ColdShare.permits(21.5)) isEqualTo 4
        expectThat(ColdShare.permits(1.0)) isEqualTo 0
    }

    private fun nowMs() = System.nanoTime() / 1_000_000

    private companion object {
        const val PLAYED_MS = 5_500L
    }
}
