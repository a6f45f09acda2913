package io.oriolehall.harness.capacity

import io.oriolehall.entry.explain.AttemptRecord
import io.oriolehall.entry.explain.RequestHistory
import io.oriolehall.entry.explain.RequestRecord
import io.oriolehall.model.EndpointId
import io.oriolehall.model.InstanceId
import io.oriolehall.model.OrganisationId
import io.oriolehall.model.PipelineId
import io.oriolehall.model.RequestId
import io.oriolehall.policy.quarantine.CrashRegister
import io.oriolehall.policy.quarantine.EndpointLoss
import io.oriolehall.policy.quarantine.Fingerprint
import io.oriolehall.runtime.AuditRecord

/** Memory of what an instance keeps of the past; each has a bound, so the size is the number kept. */
internal object HistoryProbes {
    private const val STAGES = 6
    private const val TIME_MS = 1_790_000_000_000L

    fun audit(records: Int): List<Quantity> = memory { List(records, ::auditRecord) }

    fun requests(records: Int): List<Quantity> = memory {
        RequestHistory(records).also { history -> repeat(records) { history.open(requestRecord(it)) } }
    }

    fun quarantine(fingerprints: Int): List<Quantity> = memory {
        (0 until fingerprints).fold(CrashRegister()) { register, index ->
            val fingerprint = Fingerprint.of(OrganisationId("o"), PipelineId("p"), "input $index")
            register.withLoss(fingerprint, EndpointLoss(EndpointId("engine-$index"), index.toLong(), fingerprint))
        }
    }

    private fun memory(build: () -> Any) = listOf(Quantity("memory", "bytes", Meter.keptBytes(build)))

    private fun auditRecord(index: Int) = AuditRecord(
        atMs = TIME_MS + index,
        instance = "entry-$index",
        actor = "operator $index",
        subject = "endpoint/engine-zone-1-$index",
        cause = "a change for the plan $index (from platform)",
        ticket = index.toLong(),
        before = "ticket $index: Endpoint(id=engine-zone-1-$index, zone=zone-1, pool=engines, address=10.0.0.1:9000)",
        after = "Endpoint(id=engine-zone-1-$index, zone=zone-1, pool=engines, address=10.0.0.2:9000)",
    )

    private fun requestRecord(index: Int) = RequestRecord(
        requestId = RequestId("entry-zone-1-1~00000000-0000-0000-0000-$index"),
        instance = InstanceId("entry-zone-1-1"),
        organisation = OrganisationId("organisation-$index"),
        pipeline = PipelineId("summary-$index"),
        arrivedAtMs = TIME_MS + index,
        deadlineMs = index.toLong(),
        attempts = List(STAGES) { AttemptRecord("stage-$it", 1, EndpointId("engine-$index-$it"), 1L, 2L) },
    )
}
