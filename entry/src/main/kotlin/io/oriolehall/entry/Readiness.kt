package io.oriolehall.entry

import io.oriolehall.entry.config.ConfigExchange
import io.oriolehall.entry.config.ConfigReader
import io.oriolehall.entry.config.ConfigStore
import io.oriolehall.entry.membership.MembershipService
import io.oriolehall.entry.stopping.GracefulStop
import io.oriolehall.model.Refusal
import io.oriolehall.model.RefusalKind

/**
 * Whether this instance may serve. It needs a configuration that can be relied on: from the platform, after the other
 * instances had the time to answer, or from an instance that was ready itself.
 */
internal class Readiness(
    private val store: ConfigStore,
    private val reader: ConfigReader,
    private val exchange: ConfigExchange,
    private val membership: () -> MembershipService?,
    private val stop: GracefulStop,
) {
    val ready: Boolean get() = obstacle() == null

    /** Why the instance is not ready; null when it is. */
    fun obstacle(): String? = when {
        stop.leaving -> "the instance is stopping"
        superseded() -> SUPERSEDED
        else -> configurationObstacle()
    }

    /** Why new requests are refused; null when they are not. A leaving instance serves for some time yet. */
    fun refusal(): Refusal? {
        if (stop.refusing) return Refusal(RefusalKind.STOPPING, "this instance stops", retryAfterMs = 0)
        if (superseded()) return Refusal(RefusalKind.STOPPING, SUPERSEDED, retryAfterMs = 0)
        val obstacle = configurationObstacle() ?: return null
        return Refusal(RefusalKind.NOT_READY, obstacle, retryAfterMs = RETRY_AFTER_MS)
    }

    private fun configurationObstacle(): String? = when {
        membership()?.joined == false -> "the other instances have not been asked yet"
        !reader.caughtUp && !exchange.caughtUp -> "neither the configuration service nor a ready instance has answered"
        store.config.highestTicket == 0L -> "no ticket has been accepted yet; publish one"
        else -> null
    }

    private fun superseded() = membership()?.view?.value?.superseded == true

    private companion object {
        const val SUPERSEDED = "another process runs under this instance's name; stop this one"
        const val RETRY_AFTER_MS = 1_000L
    }
}
