package io.oriolehall.entry.limits

import io.oriolehall.model.Endpoint
import io.oriolehall.policy.limits.CallResult

/** How many calls this instance may have running at each endpoint. Safe for use by several threads. */
interface ConcurrencyLimits {
    /** Calls that could start at [endpoint] now. */
    fun room(endpoint: Endpoint): Int

    /** Takes the right to one call at [endpoint]; false when there is none. */
    fun tryStart(endpoint: Endpoint): Boolean

    /** Gives back the right to a call that has ended. */
    fun finish(endpoint: Endpoint, result: CallResult, firstOutputMs: Double)

    /** Sets to [waiting] the number of calls of this instance that wait for [endpoint] or one like it. */
    fun setWaitingCalls(endpoint: Endpoint, waiting: Int) = Unit

    /** Starts the periodic work; [onRoom] is called when there may be new room. */
    fun start(onRoom: () -> Unit) = Unit

    /** Gives everything up before the instance stops. */
    suspend fun leave() = Unit

    /** State for operators, one per endpoint that this instance owns. */
    fun owned(): List<OwnedEndpoint> = emptyList()
}

/** No limits: every call starts at once. */
object Unlimited : ConcurrencyLimits {
    override fun room(endpoint: Endpoint) = Int.MAX_VALUE

    override fun tryStart(endpoint: Endpoint) = true

    override fun finish(endpoint: Endpoint, result: CallResult, firstOutputMs: Double) = Unit
}
