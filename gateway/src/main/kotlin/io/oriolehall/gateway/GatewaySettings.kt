package io.oriolehall.gateway

import io.oriolehall.model.Instance
import io.oriolehall.model.NetworkAddress

/**
 * Settings of a gateway instance.
 *
 * @property callers address for callers.
 * @property readiness address for the readiness checks of the load balancer.
 * @property metrics address of the metrics page, with counters and histograms as text; null to serve no metrics.
 * @property seeds addresses of other instances, for the first contacts.
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
 * @property stopMs time between SIGTERM and SIGKILL, in milliseconds.
 * @property keyTrustMs time after which a revoked API key must no longer be accepted, in milliseconds; null if an
 *   instance that cannot confirm its configuration may continue to accept keys.
 * @property repeatRatio permitted retries per request of a service, over all instances.
 * @property repeatAllowance retries per window that are permitted in addition to the ratio.
 * @property repeatWindowMs length of the retry window, in milliseconds.
 * @property coldFactor factor on the request rate that a cold endpoint can handle.
 * @property coldSlack requests per second that a cold endpoint can handle in addition.
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
