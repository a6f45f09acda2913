package io.oriolehall.standins.faultproxy

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock

/** The links of the proxy and the faults that apply to them. */
internal class FaultProxy(private val selector: SelectorManager, private val scope: CoroutineScope) {
    private val changing = Mutex()
    private val relays = linkedMapOf<String, LinkRelay>()
    private val faults = mutableListOf<Fault>()

    /** Opens [link]; a link of the same id is closed first. */
    suspend fun open(link: Link): LinkStatus = changing.withLock {
        relays.remove(link.id)?.close()
        val relay = LinkRelay(link, selector, scope)
        relay.start()
        relays[link.id] = relay
        relay.apply(faultOf(link))
        relay.status()
    }

    /** Sends new connections of link [id] to [target]; null when there is no such link. */
    suspend fun retarget(id: String, target: String): LinkStatus? = changing.withLock {
        relays[id]?.also { it.retarget(target) }?.status()
    }

    suspend fun addFault(fault: Fault) = changing.withLock {
        faults += fault
        applyFaults()
    }

    suspend fun clearFaults() = changing.withLock {
        faults.clear()
        applyFaults()
    }

    suspend fun links(): List<LinkStatus> = changing.withLock { relays.values.map(LinkRelay::status) }

    private suspend fun applyFaults() = relays.values.forEach { it.apply(faultOf(it.link)) }

    private fun faultOf(link: Link): Fault =
        faults.lastOrNull { it.match.matches(link) } ?: Fault(mode = FaultMode.PASS)
}
