package io.oriolehall.dispatch.stages

import io.oriolehall.model.InstanceId

/**
 * Remembers which owners of stage queues did not acknowledge a request, so that later requests do not wait for them as
 * well. After [retryAfterMs] a single request tries the owner again.
 *
 * Answers load while an owner is cut off, paused or overloaded and the failure detector has not yet replaced it. Times
 * are monotonic milliseconds. Not thread-safe.
 */
class SilentOwners(private val retryAfterMs: Long = DEFAULT_RETRY_AFTER_MS) {
    private val silentUntilMs = HashMap<InstanceId, Long>()

    /** True if a request may be sent to [owner]. If it was silent, this request is the one that tries it again. */
    fun mayAsk(owner: InstanceId, nowMs: Long): Boolean {
        if (isSilent(owner, nowMs)) return false
        if (owner in silentUntilMs) silentUntilMs[owner] = nowMs + retryAfterMs
        return true
    }

    /** True while no request may be sent to [owner]; unlike [mayAsk], takes no turn at trying it again. */
    fun isSilent(owner: InstanceId, nowMs: Long): Boolean = silentUntilMs[owner]?.let { nowMs < it } ?: false

    /** Records that [owner] did not acknowledge a request. */
    fun onSilence(owner: InstanceId, nowMs: Long) {
        silentUntilMs[owner] = nowMs + retryAfterMs
    }

    /** Records that [owner] answered. */
    fun onAnswer(owner: InstanceId) {
        silentUntilMs.remove(owner)
    }

    private companion object {
        /** About the time in which the failure detector replaces an owner. */
        const val DEFAULT_RETRY_AFTER_MS = 1_000L
    }
}
