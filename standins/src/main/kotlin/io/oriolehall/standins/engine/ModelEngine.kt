package io.oriolehall.standins.engine

import io.oriolehall.model.CacheEventPage
import io.oriolehall.model.StageCall
import io.oriolehall.model.Usage
import io.oriolehall.standins.compute.StageComputer
import io.oriolehall.standins.endpoint.Behaviour
import io.oriolehall.standins.endpoint.Capacity
import io.oriolehall.standins.endpoint.EndpointOptions
import io.oriolehall.standins.endpoint.GeneratedStream
import kotlinx.coroutines.delay
import kotlin.random.Random

/**
 * What goes wrong with one stream.
 *
 * @property breakOff it breaks off half way.
 */
internal data class StreamFaults(val breakOff: Boolean, val staleLines: Boolean, val otherText: Boolean)

/**
 * Generates streams as a model engine with continuous batching does: a stream joins the batch when a place is free, the
 * part of its prompt that the prefix cache holds is not computed again, and each token takes longer while the engine
 * is cold or has more than it bears.
 */
internal class ModelEngine(
    private val options: EndpointOptions,
    private val capacity: Capacity,
    private val computer: StageComputer,
    private val nowMs: () -> Long,
    random: Random,
) {
    private val slots = BatchSlots(options.batchSize)
    private val events = CacheEvents(options.eventLagMs, options.eventGap, nowMs, random)
    private val cache = PrefixCache(options.cacheTokens, events::add)

    /** Streams that wait for a place in the batch. */
    val queued: Int get() = slots.queued

    /** What changed in the prefix cache after event [after], as far as it is published. */
    fun events(after: Long): CacheEventPage = events.after(after)

    /** Generates the answer to [call] into [stream]. */
    suspend fun generate(call: StageCall, stream: GeneratedStream, behaviour: Behaviour, faults: StreamFaults) =
        slots.use(call.priority) {
            val startedMs = nowMs()
            val prompt = call.input.split(' ')
            val cached = cache.use(prompt)
            val source = if (faults.otherText) "other ${call.input}" else call.input
            val tokens = computer.generate(source, call.maxTokens)
            delay(promptMs(prompt.size, cached, behaviour))
            decode(if (faults.breakOff) tokens.take(tokens.size / 2) else tokens, stream, behaviour, faults)
            delay(behaviour.pauseAfterRunMs)
            val usage = Usage((nowMs() - startedMs).toDouble(), prompt.size, cached, tokens.size)
            if (!faults.breakOff) stream.end(usage)
        }

    private suspend fun decode(
        tokens: List<String>,
        stream: GeneratedStream,
        behaviour: Behaviour,
        faults: StreamFaults,
    ) {
        var dueMs = nowMs().toDouble()
        for (token in tokens) {
            delay((dueMs - nowMs()).toLong())
            if (faults.staleLines) stream.appendStale()
            stream.append(token)
            dueMs += MS_PER_SECOND / options.tokensPerSecond * capacity.slowdown * behaviour.slowFactor
        }
    }

    private fun promptMs(tokens: Int, cached: Int, behaviour: Behaviour): Long {
        val computed = ((tokens - cached).toDouble() / tokens).coerceAtLeast(LEAST_COMPUTED)
        return (options.serviceMs * computed * capacity.slowdown * behaviour.slowFactor).toLong() + behaviour.delayMs
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0

        /** Share of a prompt's time that is left when all of it is cached. */
        const val LEAST_COMPUTED = 0.2
    }
}
