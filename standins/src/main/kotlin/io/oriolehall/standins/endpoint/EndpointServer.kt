package io.oriolehall.standins.endpoint

import io.oriolehall.model.CacheEventPage
import io.oriolehall.model.EngineOrder
import io.oriolehall.model.LoadReport
import io.oriolehall.model.OrderResult
import io.oriolehall.model.StageCall
import io.oriolehall.model.StageKind
import io.oriolehall.model.StageResult
import io.oriolehall.model.Usage
import io.oriolehall.standins.compute.DataSet
import io.oriolehall.standins.compute.StageComputer
import io.oriolehall.standins.compute.StageInputException
import io.oriolehall.standins.engine.ModelEngine
import io.oriolehall.standins.engine.StreamFaults
import io.oriolehall.standins.weights.WeightClient
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** How a call ended. */
internal sealed interface CallOutcome {
    /** Nothing ran. */
    data class Declined(val status: Int, val reason: String) : CallOutcome

    /** It may have run, and failed. */
    data class Failed(val status: Int, val reason: String) : CallOutcome

    /** It ran; [copies] says how often the reply is sent, 0 for a reply that never arrives. */
    data class Answered(val result: StageResult, val copies: Int) : CallOutcome

    /** It runs and streams; [copies] as in [Answered]. */
    data class Streaming(val stream: GeneratedStream, val copies: Int) : CallOutcome
}

/**
 * An endpoint without its HTTP interface. Calls run to their end although their caller has gone, as on endpoints that
 * do not notice it.
 */
internal class EndpointServer(
    val options: EndpointOptions,
    private val scope: CoroutineScope,
    private val random: Random = Random.Default,
) {
    private val startedAtMs = System.currentTimeMillis()
    private val counters = EndpointCounters(options, startedAtMs)
    private val capacity = Capacity(options, ::monotonicMs)
    private val computer = StageComputer(DataSet.load(options.dataSet))
    private val orders = EngineOrders(options, capacity, WeightClient(options.weights)::fetch)
    private val engine = ModelEngine(options, capacity, computer, ::monotonicMs, random)
    private val load: LaggingLoad = LaggingLoad(options.loadLagMs, ::monotonicMs, ::currentLoad)

    val streams = StreamRegistry(counters)

    @Volatile private var inForce = BehaviourInForce()

    fun stats(): EndpointStats = counters.stats(capacity.running)

    fun loadReport(): LoadReport = load.report()

    fun behave(behaviour: Behaviour) {
        inForce = BehaviourInForce(behaviour)
        if (behaviour.coldNow) capacity.turnCold()
    }

    /** Carries [order] out to the end, also when its sender has gone. */
    suspend fun order(order: EngineOrder): OrderResult =
        scope.async { orders.obey(order) }.await().also { counters.ordered(it.accepted) }

    fun cacheEvents(after: Long): CacheEventPage = engine.events(after)

    /** Runs [call]. */
    suspend fun run(call: StageCall): CallOutcome {
        counters.received(call, System.currentTimeMillis(), orders.busy)
        val declined = declineReason(call)
        if (declined != null) return declined
        counters.entered(capacity.enter())
        return if (options.kind == StageKind.GENERATE) startStream(call) else scope.async { runWhole(call) }.await()
    }

    private fun declineReason(call: StageCall): CallOutcome? {
        val overloaded = capacity.running >= capacity.limit
        if (overloaded) counters.overloaded()
        val reaction = if (overloaded) options.overload else OverloadReaction.BEAR
        return when {
            inForce.takeFailBefore() -> declined(UNAVAILABLE, "declined as told")
            reaction == OverloadReaction.DECLINE -> declined(TOO_MANY, "${call.stage}: all that ${options.id} bears")
            reaction == OverloadReaction.BEAR || capacity.warm -> null
            reaction == OverloadReaction.EXIT -> crash()
            else -> CallOutcome.Failed(FAILED, "fell over while cold")
        }
    }

    private fun declined(status: Int, reason: String): CallOutcome {
        counters.declined()
        return CallOutcome.Declined(status, reason)
    }

    private suspend fun runWhole(call: StageCall): CallOutcome {
        val started = monotonicMs()
        try {
            begin(call)
            delay(serviceMs())
            val output = computer.compute(options.kind, call.input, call.query)
            delay(inForce.behaviour.pauseAfterRunMs)
            if (inForce.takeFailAfter()) return CallOutcome.Failed(FAILED, "failed after running as told")
            val usage = Usage(busyMs = (monotonicMs() - started).toDouble())
            return CallOutcome.Answered(StageResult(call.requestId, call.stage, call.attempt, output, usage), copies())
        } catch (e: StageInputException) {
            return CallOutcome.Failed(UNPROCESSABLE, e.message.orEmpty())
        } finally {
            finish(call, started)
        }
    }

    private fun startStream(call: StageCall): CallOutcome {
        val stream = GeneratedStream(call)
        val faults = StreamFaults(inForce.takeFailAfter(), inForce.takeStaleLines(), inForce.takeOtherText())
        val job = scope.launch { generate(call, stream, faults) }
        streams.add(stream, job)
        return CallOutcome.Streaming(stream, copies())
    }

    private suspend fun generate(call: StageCall, stream: GeneratedStream, faults: StreamFaults) {
        val started = monotonicMs()
        try {
            begin(call)
            engine.generate(call, stream, inForce.behaviour, faults)
        } catch (e: StageInputException) {
            stream.breakOff()
        } catch (e: CancellationException) {
            counters.wasted((monotonicMs() - started).toDouble())
            throw e
        } finally {
            if (!stream.ended) streams.forget(stream)
            finish(call, started)
        }
    }

    private suspend fun begin(call: StageCall) {
        delay(inForce.behaviour.pauseBeforeRunMs)
        val crashTexts = listOfNotNull(options.crashOn, inForce.behaviour.crashOnInputContaining)
        if (crashTexts.any { it in call.input || it in call.query }) crash()
        if (random.nextDouble() < options.crashProbability) crash()
        counters.executed(call)
    }

    private fun serviceMs(): Long {
        val behaviour = inForce.behaviour
        return (options.serviceMs * capacity.slowdown * behaviour.slowFactor).toLong() + behaviour.delayMs
    }

    private fun finish(call: StageCall, startedMs: Long) {
        capacity.leave()
        val tookMs = monotonicMs() - startedMs
        if (tookMs > call.remainingMs) counters.wasted(tookMs.toDouble())
    }

    private fun copies() = when {
        inForce.takeLoseReply() -> 0
        inForce.takeDuplicateReply() -> 2
        else -> 1
    }

    private fun currentLoad(): LoadReport = LoadReport(
        running = capacity.running,
        queued = if (options.kind == StageKind.GENERATE) engine.queued else 0,
        limit = capacity.limit,
        warm = capacity.warm,
        startedAtMs = startedAtMs,
    ).let(orders::describe)

    private fun crash(): Nothing {
        Runtime.getRuntime().halt(CRASH_STATUS)
        error("halted")
    }

    private companion object {
        const val TOO_MANY = 429
        const val UNPROCESSABLE = 422
        const val FAILED = 500
        const val UNAVAILABLE = 503
        const val CRASH_STATUS = 70

        fun monotonicMs(): Long = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())
    }
}
