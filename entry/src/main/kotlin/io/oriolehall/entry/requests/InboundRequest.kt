package io.oriolehall.entry.requests

import io.oriolehall.entry.keys.SendGuard
import io.oriolehall.model.Organisation
import io.oriolehall.model.Pipeline
import io.oriolehall.model.PipelineRequest

/**
 * A request that has been read, authenticated and matched to its pipeline.
 *
 * @property arrivedMs monotonic time of arrival, milliseconds.
 * @property deadlineMs monotonic time by which the answer must be whole, milliseconds.
 * @property key the caller's `Idempotency-Key`, if it sent one.
 * @property guard stands before the stages that may not run twice.
 */
data class InboundRequest(
    val organisation: Organisation,
    val pipeline: Pipeline,
    val body: PipelineRequest,
    val arrivedMs: Long,
    val deadlineMs: Long,
    val key: String? = null,
    val guard: SendGuard = SendGuard.Unguarded,
)
