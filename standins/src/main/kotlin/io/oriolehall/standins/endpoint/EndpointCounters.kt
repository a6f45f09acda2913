package io.oriolehall.standins.endpoint

import io.oriolehall.model.StageCall
import kotlinx.serialization.Serializable

/**
 * Counts of an endpoint since its process started: answer of `GET /stats`.
 *
 * @property executions how often each request ran here, by request identifier.
 * @property executionsByKey how often each idempotency key ran here.
 * @property stageCalls calls received, by stage.
 * @property maxConcurrency most calls that ran at once.
 * @property lastNewWorkAtMs wall-clock time of the last call received, milliseconds since the epoch; 0 before any.
 * @property overloads how often a call arrived when the endpoint already had all that it bears.
 * @property declined calls answered 429 or 503 before they ran.
 * @property cancels calls stopped by DELETE.
 * @property callsWhileLoading calls received while an order was carried out.
 * @property ordersObeyed orders carried out, also those that changed nothing.
 * @property ordersRefused orders refused for an old fencing number.
 * @property wastedMs time spent on calls whose deadline had passed when they ended or that were stopped, milliseconds.
 */
@Serializable
data class EndpointStats(
    val id: String,
    val zone: String,
    val startedAtMs: Long,
    val running: Int,
    val executions: Map<String, Int>,
    val executionsByKey: Map<String, Int>,
    val stageCalls: Map<String, Int>,
    val maxConcurrency: Int,
    val lastNewWorkAtMs: Long,
    val overloads: Int,
    val declined: Int,
    val cancels: Int,
    val wastedMs: Double,
    val callsWhileLoading: Int = 0,
    val ordersObeyed: Int = 0,
    val ordersRefused: Int = 0,
)

/** Collects the counts. Safe for use by several threads. */
internal class EndpointCounters(private val options: EndpointOptions, private val startedAtMs: Long) {
    private val executions = mutableMapOf<String, Int>()
    private val executionsByKey = mutableMapOf<String, Int>()
    private val stageCalls = mutableMapOf<String, Int>()
    private var maxConcurrency = 0
    private var lastNewWorkAtMs = 0L
    private var overloads = 0
    private var declined = 0
    private var cancels = 0
    private var wastedMs = 0.0
    private var callsWhileLoading = 0
    private var ordersObeyed = 0
    private var ordersRefused = 0

    @Synchronized
    fun received(call: StageCall, nowMs: Long, loading: Boolean) {
        if (loading) callsWhileLoading++
        stageCalls.merge(call.stage, 1, Int::plus)
        lastNewWorkAtMs = nowMs
    }

    @Synchronized
    fun entered(running: Int) {
        maxConcurrency = maxOf(maxConcurrency, running)
    }

    @Synchronized
    fun overloaded() {
        overloads++
    }

    @Synchronized
    fun declined() {
        declined++
    }

    @Synchronized
    fun executed(call: StageCall) {
        executions.merge(call.requestId.value, 1, Int::plus)
        call.idempotencyKey?.let { executionsByKey.merge(it, 1, Int::plus) }
    }

    @Synchronized
    fun ordered(accepted: Boolean) {
        if (accepted) ordersObeyed++ else ordersRefused++
    }

    @Synchronized
    fun cancelled() {
        cancels++
    }

    @Synchronized
    fun wasted(ms: Double) {
        wastedMs += ms
    }

    @Synchronized
    fun stats(running: Int) = EndpointStats(
        id = options.id.value,
        zone = options.zone.value,
        startedAtMs = startedAtMs,
        running = running,
        executions = executions.toMap(),
        executionsByKey = executionsByKey.toMap(),
        stageCalls = stageCalls.toMap(),
        maxConcurrency = maxConcurrency,
        lastNewWorkAtMs = lastNewWorkAtMs,
        overloads = overloads,
        declined = declined,
        cancels = cancels,
        wastedMs = wastedMs,
        callsWhileLoading = callsWhileLoading,
        ordersObeyed = ordersObeyed,
        ordersRefused = ordersRefused,
    )
}
