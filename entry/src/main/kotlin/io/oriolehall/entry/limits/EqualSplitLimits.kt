package io.oriolehall.entry.limits

import io.oriolehall.entry.stages.OutstandingCalls
import io.oriolehall.model.Endpoint
import io.oriolehall.model.EndpointId
import io.oriolehall.model.ZoneId
import io.oriolehall.policy.limits.CallResult
import io.oriolehall.policy.limits.EndpointLimit
import io.oriolehall.policy.limits.EqualSplit
import io.oriolehall.policy.limits.ObservedWork
import io.oriolehall.runtime.TimerService
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap

/** Each instance of the list takes an equal part of an endpoint's limit, as it judges the limit by itself. */
class EqualSplitLimits(
    private val scope: CoroutineScope,
    private val endpoints: () -> List<Endpoint>,
    private val instances: (ZoneId) -> Int,
    private val reports: LoadReports,
    private val timers: TimerService,
) : ConcurrencyLimits {
    private val limits = ConcurrentHashMap<EndpointId, EndpointLimit>()
    private val running = OutstandingCalls()

    override fun room(endpoint: Endpoint): Int {
        val limit = limitOf(endpoint)
        val now = synchronized(limit) { limit.limit(timers.nowMs()) }
        if (now == 0) return 0
        return maxOf(0, EqualSplit.share(now, instances(endpoint.zone)) - running.count(endpoint.id))
    }

    override fun tryStart(endpoint: Endpoint): Boolean = synchronized(limitOf(endpoint)) {
        if (room(endpoint) == 0) return false
        running.begin(endpoint.id)
        true
    }

    override fun finish(endpoint: Endpoint, result: CallResult, firstOutputMs: Double) {
        running.end(endpoint.id)
        val work = when (result) {
            CallResult.COMPLETED -> ObservedWork(completed = 1, meanMs = firstOutputMs)
            CallResult.DECLINED -> ObservedWork(declined = 1)
            CallResult.FAILED -> ObservedWork(failed = 1)
            CallResult.CANCELLED -> return
        }
        val limit = limitOf(endpoint)
        synchronized(limit) { limit.onWork(work, timers.nowMs()) }
    }

    override fun start(onRoom: () -> Unit) {
        timers.every("load reports", LeasedLimits.TICK_MS) {
            endpoints().forEach { endpoint -> scope.launch { readReport(endpoint) } }
            onRoom()
        }
    }

    private suspend fun readReport(endpoint: Endpoint) {
        val report = reports.read(endpoint) ?: return
        val limit = limitOf(endpoint)
        synchronized(limit) { limit.onReport(report, timers.nowMs()) }
    }

    private fun limitOf(endpoint: Endpoint): EndpointLimit =
        limits.computeIfAbsent(endpoint.id) { EndpointLimit(endpoint.coldLimit, endpoint.warmLimit) }
}
