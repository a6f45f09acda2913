package io.oriolehall.entry.limits

import io.oriolehall.model.Endpoint
import io.oriolehall.model.EndpointId
import io.oriolehall.model.Incarnation
import io.oriolehall.model.InstanceId
import io.oriolehall.model.LoadReport
import io.oriolehall.policy.limits.CreditAnswer
import io.oriolehall.policy.limits.CreditLedger
import io.oriolehall.policy.limits.CreditPlan
import io.oriolehall.policy.limits.CreditRequest
import io.oriolehall.policy.limits.CreditTiming
import io.oriolehall.policy.limits.EndpointLimit
import io.oriolehall.policy.limits.HolderId
import io.oriolehall.runtime.TimerService
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch

/** The endpoints whose limits this instance owns. Used on the control thread only, but for [describe]. */
internal class OwnedLimits(
    private val incarnation: Incarnation,
    private val timing: CreditTiming,
    private val reports: LoadReports,
    private val timers: TimerService,
) {
    private class Owned(val ledger: CreditLedger, val limit: EndpointLimit) {
        var askedAtMs = Long.MIN_VALUE / 2
    }

    private val owned = mutableMapOf<EndpointId, Owned>()

    @Volatile
    private var description: List<OwnedEndpoint> = emptyList()

    /** What operators see. */
    fun describe(): List<OwnedEndpoint> = description

    /** Answers the [requests] of [holder] for endpoints of this zone; others have no answer. */
    fun answer(holder: HolderId, requests: List<CreditRequest>, plan: CreditPlan): List<CreditAnswer> {
        val now = timers.nowMs()
        return requests.mapNotNull { request ->
            val endpoint = plan.endpoint(request.endpoint) ?: return@mapNotNull null
            val own = owned(endpoint)
            own.limit.onWork(request.observed, now)
            own.ledger.answer(holder, request, plan.electorate(endpoint.id), own.limit.limit(now), now)
        }.also { describe(plan.memberView.known, now) }
    }

    /** Calls from this instance's time as owner that a new owner may not know of. */
    fun callsUnknownToNewOwner(endpoint: EndpointId): Int =
        owned[endpoint]?.ledger?.callsUnknownToNewOwner(timers.nowMs()) ?: 0

    /** True when calls of other instances may run on grants of this one. */
    fun hasGranted(): Boolean = owned.keys.any { callsUnknownToNewOwner(it) > 0 }

    /** Reads the load of [endpoints], which this instance owns; less often where the limit is at its height. */
    fun refresh(scope: CoroutineScope, endpoints: List<Endpoint>) {
        val now = timers.nowMs()
        for (endpoint in endpoints) {
            val own = owned(endpoint)
            if (own.limit.isWarm && now - own.askedAtMs < WARM_PERIOD_MS - LeasedLimits.TICK_MS / 2) continue
            own.askedAtMs = now
            scope.launch { reports.read(endpoint)?.let { take(endpoint, it) } }
        }
    }

    private fun take(endpoint: Endpoint, report: LoadReport) {
        val own = owned(endpoint)
        val now = timers.nowMs()
        own.limit.onReport(report, now)
        if (report.running + report.queued == 0) own.ledger.confirmIdle(REPORT_LAG_MS, now)
    }

    private fun owned(endpoint: Endpoint): Owned = owned.getOrPut(endpoint.id) {
        Owned(
            CreditLedger(endpoint.id, incarnation, timing),
            EndpointLimit(endpoint.coldLimit, endpoint.warmLimit),
        )
    }

    private fun describe(known: Set<InstanceId>, now: Long) {
        description = owned.map { (id, own) ->
            OwnedEndpoint(
                endpoint = id,
                limit = own.limit.limit(now),
                committed = own.ledger.committed(now),
                followers = own.ledger.followers(now),
                known = known,
                coldCause = own.limit.coldCause.name.lowercase(),
            )
        }
    }

    private companion object {
        /** Age that a load report may have, milliseconds. */
        const val REPORT_LAG_MS = 1_000L

        /** Time between two readings of the load of a warm endpoint, milliseconds. */
        const val WARM_PERIOD_MS = 500L
    }
}
