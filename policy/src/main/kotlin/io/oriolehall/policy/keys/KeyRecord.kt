package io.oriolehall.policy.keys

import io.oriolehall.model.RunOutcome

/** How to handle a request that arrives with an idempotency key. */
sealed interface ArrivalDecision {
    /** Start the request: claim its key first, unless [record] says that this process already holds it. */
    data class Begin(val record: KeyRecord) : ArrivalDecision

    /** The request is a retry: return the answer or the refusal of the earlier request. */
    data object Join : ArrivalDecision

    /** Another process may hold the key: relay the request to [holder]. */
    data class Relay(val holder: KeyHolder) : ArrivalDecision

    /**
     * The key was already used for a different request.
     *
     * @property knownNotRun true when this process holds the key, so that the arriving request has certainly not run
     *   under it.
     */
    data class Reused(val knownNotRun: Boolean) : ArrivalDecision

    /** This process may not run the request and cannot determine whether another process did. */
    data object HolderLost : ArrivalDecision

    /** The key has expired and this process has no record of it. */
    data object Expired : ArrivalDecision
}

/**
 * The record that an instance keeps of a key. Each transition returns a new record, or the same record when the
 * transition does not apply to the current state, so that its effects cannot occur twice.
 *
 * @property digest digest of the only request that may use the key at this instance.
 * @property bornAtMs creation time of the key, milliseconds since the epoch.
 */
data class KeyRecord(val digest: RequestDigest, val bornAtMs: Long, val state: KeyState) {
    /** True when this process is the holder of the key: it may run the request, has run it or has closed the key. */
    val isHolder: Boolean get() = state is KeyState.Held || state is KeyState.Sent || state is KeyState.Finished

    /** The outcome to report to a caller whose request was abandoned. */
    val outcome: RunOutcome
        get() = when ((state as? KeyState.Finished)?.outcome) {
            KeyOutcome.CLOSED -> RunOutcome.NOT_RUN
            KeyOutcome.ANSWERED, KeyOutcome.RAN -> RunOutcome.RAN
            KeyOutcome.UNKNOWN, null -> RunOutcome.UNKNOWN
        }

    /** The record after its claim has reached [step]. */
    fun afterClaimStep(step: ClaimStep): KeyRecord {
        if (state != KeyState.Claiming) return this
        return when (step) {
            is ClaimStep.Ask -> this
            is ClaimStep.Acquired -> withState(KeyState.Held())
            is ClaimStep.Withdraw -> withState(KeyState.HeldElsewhere(step.holder))
            is ClaimStep.Failed -> withState(if (step.othersBlocked) CLOSED else KeyState.Unclaimed)
        }
    }

    /**
     * The record just before a non-idempotent stage is sent. The stage may be sent only if the state of the returned
     * record is [KeyState.Sent]; once the deadline has passed, the request is abandoned instead.
     */
    fun sending(nowMs: Long, deadlineAtMs: Long): KeyRecord = when {
        state !is KeyState.Held -> this
        nowMs >= deadlineAtMs -> abandoned()
        else -> withState(KeyState.Sent(state.ran))
    }

    /** The record after the endpoint declined to run the stage, or no byte of it was sent: it may be sent again. */
    fun declined(): KeyRecord = if (state is KeyState.Sent) withState(KeyState.Held(state.ran)) else this

    /** The record after the endpoint returned the result of the stage. */
    fun executed(): KeyRecord = if (state is KeyState.Sent) withState(KeyState.Held(ran = true)) else this

    /** The record after every stage has returned its result. */
    fun answered(): KeyRecord = if (state is KeyState.Held) finish(KeyOutcome.ANSWERED) else this

    /**
     * The record after the request was abandoned. [outcome] may be reported to the caller only after this transition.
     */
    fun abandoned(): KeyRecord = when (state) {
        is KeyState.Held -> finish(if (state.ran) KeyOutcome.RAN else KeyOutcome.CLOSED)
        is KeyState.Sent -> finish(KeyOutcome.UNKNOWN)
        KeyState.Claiming -> withState(KeyState.Unclaimed)
        else -> this
    }

    private fun finish(outcome: KeyOutcome) = withState(KeyState.Finished(outcome))

    private fun withState(newState: KeyState) = copy(state = newState)

    companion object {
        private val CLOSED = KeyState.Finished(KeyOutcome.CLOSED)
    }
}
