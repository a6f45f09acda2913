package io.oriolehall.gateway

import io.oriolehall.model.Instance
import io.oriolehall.model.NetworkAddress

/**
 * What a gateway instance has to know to start.
 *
 * @property callers address where callers connect.
 * @property readiness address where the balancer asks whether the instance takes callers.
 * @property metrics address where counters and histograms are served as text; null for none.
 * @property seeds addresses of other instances, for first contacts.
 */
data class GatewaySettings(
    val instance: Instance,
    val callers: NetworkAddress,
    val readiness: NetworkAddress,
    val seeds: List<NetworkAddress>,
    val bounds: Bounds,
    val metrics: NetworkAddress? = null,
)

/**
 * Bounds that the operators set for the whole deployment.
 *
 * @property stopMs time between SIGTERM and SIGKILL, milliseconds.
 * @property keyTrustMs time after which a key that was taken away may not be honoured any more, milliseconds; null when
 *   instances that cannot confirm their configuration may go on.
 * @property repeatRatio repeats that a service may get per request, over all instances.
 * @property repeatAllowance repeats in a window beyond that.
 * @property repeatWindowMs length of that window, milliseconds.
 * @property coldFactor factor on the requests that a cold endpoint bears.
 * @property coldSlack requests a second that it bears beyond that.
 */
data class Bounds(
    val stopMs: Long,
    val keyTrustMs: Long?,
    val repeatRatio: Double,
    val repeatAllowance: Double,
    val repeatWindowMs: Long,
    val coldFactor: Double,
    val coldSlack: Double,
)
