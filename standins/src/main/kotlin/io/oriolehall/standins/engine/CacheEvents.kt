package io.oriolehall.standins.engine

import io.oriolehall.model.CacheEvent
import io.oriolehall.model.CacheEventPage
import kotlin.random.Random

/**
 * What an engine publishes of its prefix cache: each event [lagMs] milliseconds late, and a share [gap] of them never.
 */
internal class CacheEvents(
    private val lagMs: Long,
    private val gap: Double,
    private val nowMs: () -> Long,
    private val random: Random,
) {
    private val events = ArrayDeque<Dated>()
    private var last = 0L

    @Synchronized
    fun add(stored: Boolean, prefix: String) {
        last++
        if (random.nextDouble() < gap) return
        events.addLast(Dated(nowMs(), CacheEvent(last, stored, prefix)))
        if (events.size > KEPT) events.removeFirst()
    }

    /** The published events after number [after]. */
    @Synchronized
    fun after(after: Long): CacheEventPage {
        val shownUntilMs = nowMs() - lagMs
        val shown = events.filter { it.event.number > after && it.atMs <= shownUntilMs }.map { it.event }
        return CacheEventPage(shown, shown.lastOrNull()?.number ?: after)
    }

    private class Dated(val atMs: Long, val event: CacheEvent)

    private companion object {
        const val KEPT = 2_048
    }
}
