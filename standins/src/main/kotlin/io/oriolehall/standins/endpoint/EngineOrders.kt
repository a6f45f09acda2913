package io.oriolehall.standins.endpoint

import io.oriolehall.model.EngineOrder
import io.oriolehall.model.LoadReport
import io.oriolehall.model.OrderResult
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock

/**
 * What an engine was ordered to serve. Orders are carried out one after the other. A fenced engine refuses a number
 * below the highest one it has seen, others obey in the order of arrival.
 */
internal class EngineOrders(
    private val options: EndpointOptions,
    private val capacity: Capacity,
    private val loadWeights: suspend (EngineOrder) -> Unit = {},
) {
    private val loading = Mutex()

    @Volatile private var serving: EngineOrder? = null

    @Volatile private var fence = 0L

    /** True while an order is carried out. */
    val busy: Boolean get() = loading.isLocked

    /** Carries [order] out, unless it is refused. */
    suspend fun obey(order: EngineOrder): OrderResult {
        if (options.fenced && !raiseFence(order.fence)) return OrderResult(accepted = false, fence = fence)
        return loading.withLock { carryOut(order) }
    }

    /** [report] with what the engine serves. */
    fun describe(report: LoadReport): LoadReport = report.copy(
        model = serving?.model,
        version = serving?.version,
        adapter = serving?.adapter,
        role = serving?.role,
        orderFence = fence,
        ordering = busy,
    )

    private suspend fun carryOut(order: EngineOrder): OrderResult {
        if (options.fenced && order.fence < fence) return OrderResult(accepted = false, fence = fence)
        val changes = serving?.copy(fence = 0) != order.copy(fence = 0)
        if (changes) {
            loadWeights(order)
            delay(options.orderMs)
            capacity.turnCold()
        }
        serving = order
        raiseFence(order.fence)
        return OrderResult(accepted = true, fence = fence)
    }

    @Synchronized
    private fun raiseFence(number: Long): Boolean {
        if (number < fence) return false
        fence = number
        return true
    }
}
