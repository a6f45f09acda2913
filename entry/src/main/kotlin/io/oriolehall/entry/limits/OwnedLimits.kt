package io.oriolehall.entry.limits

import io.oriolehall.model.Endpoint
import io.oriolehall.model.EndpointId
import io.oriolehall.model.Incarnation
import io.oriolehall.model.InstanceId
import io.oriolehall.model.LoadReport
import io.oriolehall.model.ZoneId
import io.oriolehall.policy.hashing.Rendezvous
import io.oriolehall.policy.limits.CreditAnswer
import io.oriolehall.policy.limits.CreditLedger
import io.oriolehall.policy.limits.CreditRequest
import io.oriolehall.policy.limits.CreditTiming
import io.oriolehall.policy.limits.EndpointLimit
import io.oriolehall.runtime.TimerService
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch

/** The endpoints whose limits this instance owns. Used on the control thread only, but for [describe]. */
internal class OwnedLimits(
    private val zone: ZoneId,
    private val incarnation: Incarnation,
    private val timing: CreditTiming,
    private val reports: LoadReports,
    private val timers: TimerService,
) {
    private class Owned(val ledger: CreditLedger, val limit: EndpointLimit)

    private val owned = mutableMapOf<EndpointId, Owned>()

    @Volatile
    private var description: List<OwnedEndpoint> = emptyList()

    /** What operators see. */
    fun describe(): List<OwnedEndpoint> = description

    /** Answers [requests] for endpoints of this zone; others have no answer. */
    fun answer(
        requests: List<CreditRequest>,
        endpoints: List<Endpoint>,
        known: Set<InstanceId>,
    ): List<CreditAnswer> {
        val byId = endpoints.associateBy(Endpoint::id)
        val now = timers.nowMs()
        return requests.mapNotNull { request ->
            val endpoint = byId[request.endpoint]?.takeIf { it.zone == zone } ?: return@mapNotNull null
            val own = owned(endpoint)
            own.limit.onWork(request.observed, now)
            own.ledger.answer(request, known, own.limit.limit(now), now)
        }.also { describe(known, now) }
    }

    /** Calls from this instance's time as owner that no other holder reports to the new owner. */
    fun unreportedElsewhere(endpoint: EndpointId): Int =
        owned[endpoint]?.ledger?.unreportedElsewhere(timers.nowMs()) ?: 0

    /** Reads the load of the endpoints that [self] owns among [members]. */
    fun refresh(scope: CoroutineScope, endpoints: List<Endpoint>, members: Set<InstanceId>, self: InstanceId) {
        val mine = endpoints.filter { it.zone == zone && Rendezvous.owner(it.id, members) == self }
        for (endpoint in mine) {
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
    }
}
