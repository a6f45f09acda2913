package io.oriolehall.policy.quarantine

import io.oriolehall.model.EndpointId

/**
 * An endpoint that terminated while it ran [request]; [atMs] is the local monotonic time, milliseconds.
 *
 * @property answerBegun true when a part of the answer had arrived. An endpoint begins few answers at a time, but may
 *   be amid dozens, so that such a loss is weaker evidence against one request.
 */
data class EndpointLoss(
    val endpoint: EndpointId,
    val atMs: Long,
    val request: Fingerprint,
    val answerBegun: Boolean = false,
) {
    /** True when both tell of the same end of one endpoint. */
    internal fun isSameAs(other: EndpointLoss): Boolean =
        endpoint == other.endpoint && Math.abs(atMs - other.atMs) < SAME_LOSS_WINDOW_MS

    private companion object {
        /** Instances notice the end of an endpoint at slightly different times. */
        const val SAME_LOSS_WINDOW_MS = 1_000L
    }
}
