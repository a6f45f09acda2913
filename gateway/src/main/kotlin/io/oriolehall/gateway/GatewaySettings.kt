package io.oriolehall.gateway

import io.oriolehall.dispatch.endpoints.EndpointDirectory
import io.oriolehall.dispatch.retries.SecondAttemptLimits
import io.oriolehall.model.Instance
import io.oriolehall.model.NetworkAddress

/**
 * Settings of a gateway instance.
 *
 * @property callerAddress address for callers.
 * @property readinessAddress address for the readiness checks of the load balancer.
 * @property metricsAddress address of the metrics page, with counters and histograms as text; null to serve no metrics.
 * @property seeds addresses of other instances, for the first contacts.
 * @property secondAttempts limits of second attempts for slow repeatable requests; null to send none.
 */
data class GatewaySettings(
    val instance: Instance,
    val callerAddress: NetworkAddress,
    val readinessAddress: NetworkAddress,
    val seeds: List<NetworkAddress>,
    val bounds: DeploymentBounds,
    val metricsAddress: NetworkAddress? = null,
    val secondAttempts: SecondAttemptLimits? = null,
)

/**
 * Bounds that the operators set for the whole deployment.
 *
 * @property stopTimeoutMs time between SIGTERM and SIGKILL, in milliseconds.
 * @property keyRevocationMs time after which a revoked API key must no longer be accepted, in milliseconds; null if an
 *   instance that cannot confirm its configuration may continue to accept keys.
 * @property retryRatio permitted retries per request of a service, over all instances.
 * @property retryAllowance retries per window that are permitted in addition to the ratio.
 * @property retryWindowMs length of the retry window, in milliseconds.
 * @property coldFactor factor on the request rate that a cold endpoint can handle.
 * @property coldSlack requests per second that a cold endpoint can handle in addition.
 * @property configApplyMs time within which a new configuration has to be in force, in milliseconds.
 * @property registrationLifetimeMs time after which the store removes the registration of an endpoint that does not
 *   write it again, in milliseconds.
 */
data class DeploymentBounds(
    val stopTimeoutMs: Long,
    val keyRevocationMs: Long?,
    val retryRatio: Double,
    val retryAllowance: Double,
    val retryWindowMs: Long,
    val coldFactor: Double,
    val coldSlack: Double,
    val configApplyMs: Long = DEFAULT_CONFIG_APPLY_MS,
    val registrationLifetimeMs: Long = EndpointDirectory.DEFAULT_REGISTRATION_LIFETIME_MS,
) {
    private companion object {
        const val DEFAULT_CONFIG_APPLY_MS = 2_000L
    }
}
