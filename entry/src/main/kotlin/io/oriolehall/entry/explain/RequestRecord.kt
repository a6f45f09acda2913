package io.oriolehall.entry.explain

import io.oriolehall.model.EndpointId
import io.oriolehall.model.InstanceId
import io.oriolehall.model.OrganisationId
import io.oriolehall.model.PipelineId
import io.oriolehall.model.Refusal
import io.oriolehall.model.RequestId
import io.oriolehall.model.Usage
import kotlinx.serialization.Serializable

/**
 * One call of one stage.
 *
 * @property startMs from the request's arrival to the start of the call, milliseconds.
 * @property tookMs length of the call, milliseconds.
 * @property failure why it gave no result; null when it did.
 */
@Serializable
data class AttemptRecord(
    val stage: String,
    val attempt: Int,
    val endpoint: EndpointId,
    val startMs: Long,
    val tookMs: Long,
    val usage: Usage = Usage(),
    val failure: String? = null,
)

/**
 * What happened to one request, for operators.
 *
 * @property arrivedAtMs wall-clock time of arrival, milliseconds since the epoch.
 * @property deadlineMs time the request had, milliseconds from its arrival.
 * @property tookMs time to the end of the answer, milliseconds; null while it runs.
 */
@Serializable
data class RequestRecord(
    val requestId: RequestId,
    val instance: InstanceId,
    val organisation: OrganisationId,
    val pipeline: PipelineId,
    val arrivedAtMs: Long,
    val deadlineMs: Long,
    val attempts: List<AttemptRecord> = emptyList(),
    val firstChunkMs: Long? = null,
    val tookMs: Long? = null,
    val refusal: Refusal? = null,
)
