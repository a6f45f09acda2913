package io.oriolehall.gateway.stages

import io.oriolehall.model.InstanceId
import io.oriolehall.model.ZoneId

/**
 * The owner of a stage queue, or its deputy.
 *
 * @property silent true when it has not acknowledged a request lately, so that requests do not wait for it.
 */
internal data class StageQueueOwner(val id: InstanceId, val zone: ZoneId, val silent: Boolean)
