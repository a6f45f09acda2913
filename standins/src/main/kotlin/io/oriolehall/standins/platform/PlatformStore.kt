package io.oriolehall.standins.platform

import io.oriolehall.model.Instance
import io.oriolehall.model.InstanceList
import io.oriolehall.model.PublishedTicket
import io.oriolehall.model.TicketPage
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.withTimeoutOrNull

/**
 * What the platform holds: published tickets and instance lists.
 *
 * @param listLagMs time before a new instance list is shown, milliseconds.
 */
internal class PlatformStore(private val listLagMs: Long, private val nowMs: () -> Long = System::currentTimeMillis) {
    private val state = MutableStateFlow(State())

    val mode: PlatformMode get() = state.value.mode

    /** Publishes [text] and returns its revision. */
    fun publish(text: String): Long {
        var revision = 0L
        state.update {
            revision = it.tickets.size + 1L
            it.copy(tickets = it.tickets.add(PublishedTicket(revision, text)))
        }
        return revision
    }

    /** Shows [instances] after the lag. */
    fun publishInstances(instances: List<Instance>, lagMs: Long = listLagMs) {
        val list = InstanceList(nowMs(), instances)
        state.update {
            it.copy(
                lists =
                it.lists.filter { old -> old.list.asOfMs <= list.asOfMs } + Shown(nowMs() + lagMs, list),
            )
        }
    }

    fun setMode(mode: PlatformMode) {
        state.update {
            val frozen = when (mode.mode) {
                PlatformState.STALE -> it.frozen ?: Frozen(mode.revision ?: it.tickets.size, shownList(it))
                else -> null
            }
            it.copy(mode = mode, frozen = frozen)
        }
    }

    /** Tickets after revision [after], at most [limit] of them. */
    fun page(after: Long, limit: Int): TicketPage = state.value.page(after, limit)

    /** The page as soon as it has a ticket, or null when the platform goes down; empty after [waitMs] milliseconds. */
    suspend fun awaitPage(after: Long, limit: Int, waitMs: Long): TicketPage? {
        val found = withTimeoutOrNull(waitMs) {
            state.first { it.visible > after || it.mode.mode == PlatformState.DOWN }
        } ?: state.value
        return if (found.mode.mode == PlatformState.DOWN) null else found.page(after, limit)
    }

    /** The newest instance list whose lag has passed. */
    fun instances(): InstanceList = state.value.let { it.frozen?.list ?: shownList(it) }

    private fun shownList(state: State): InstanceList {
        val now = nowMs()
        return state.lists.lastOrNull { it.fromMs <= now }?.list ?: InstanceList(now, emptyList())
    }

    private class Shown(val fromMs: Long, val list: InstanceList)

    private class Frozen(val tickets: Int, val list: InstanceList)

    private data class State(
        val tickets: PersistentList<PublishedTicket> = persistentListOf(),
        val lists: List<Shown> = emptyList(),
        val mode: PlatformMode = PlatformMode(PlatformState.UP),
        val frozen: Frozen? = null,
    ) {
        val visible: Int get() = frozen?.tickets ?: tickets.size

        fun page(after: Long, limit: Int): TicketPage {
            val from = after.coerceIn(0, visible.toLong()).toInt()
            val to = (from + limit).coerceAtMost(visible)
            val revision = if (to > from) to.toLong() else visible.toLong()
            return TicketPage(revision, tickets.subList(from, to).toList(), more = to < visible)
        }
    }
}
