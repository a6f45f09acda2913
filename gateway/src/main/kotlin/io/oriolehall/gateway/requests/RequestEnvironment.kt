package io.oriolehall.gateway.requests

import io.oriolehall.dispatch.admission.StageAdmission
import io.oriolehall.dispatch.limits.RetryAllowance
import io.oriolehall.dispatch.retries.SecondAttempts
import io.oriolehall.gateway.SocketPolls
import io.oriolehall.gateway.quarantine.QuarantineService
import io.oriolehall.gateway.stages.StageService
import io.oriolehall.gateway.wire.WireProtocol
import io.oriolehall.runtime.EventLog

/**
 * The parts of a gateway instance that serving a request needs.
 *
 * @property retryAllowance this instance's share of the retry budget of a service.
 * @property secondAttempts second attempts for slow requests; null if the operators have not enabled them.
 * @property instanceCount number of live instances, which share the retry budget.
 */
internal class RequestEnvironment(
    val stages: StageService,
    val chooser: EndpointChooser,
    val stageAdmission: StageAdmission,
    val retryAllowance: (String) -> RetryAllowance,
    val instanceCount: () -> Int,
    val wire: WireProtocol,
    val polls: SocketPolls,
    val quarantine: QuarantineService,
    val metrics: GatewayMetrics,
    val log: EventLog,
    val secondAttempts: SecondAttempts? = null,
) {
    val headerPolicy = HeaderPolicy(wire)
}
