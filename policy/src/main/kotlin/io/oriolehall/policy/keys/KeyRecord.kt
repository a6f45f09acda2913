package io.oriolehall.policy.keys

import io.oriolehall.model.RunOutcome

/** What an arriving request with a key leads to. */
sealed interface Arrival {
    /** The request is the first here: claim the key, or run it if the record holds it already. */
    data class Begin(val record: KeyRecord) : Arrival

    /** The request came before: give the answer, or the refusal, of that one. */
    data object Join : Arrival

    /** Another process may hold the key: pass the request on to it. */
    data class Relay(val holder: KeyHolder) : Arrival

    /**
     * Another request was sent with the key.
     *
     * @property certain true when this process holds the key, so that the arriving request never ran under it.
     */
    data class Reused(val certain: Boolean) : Arrival

    /** This process cannot run the request and cannot know whether another did. */
    data object HolderLost : Arrival

    /** The key is too old to be run and nothing is remembered of it. */
    data object Expired : Arrival
}

/**
 * What an instance remembers of a key. Each transition gives a new record; one that does not apply to the state gives
 * the same record, so that nothing happens twice.
 *
 * @property digest of the only request that the key belongs to here.
 */
data class KeyRecord(val digest: RequestDigest, val bornAtMs: Long, val state: KeyState) {
    /** True when this process is the one that may run, or ran, or closed, the request of the key. */
    val holds: Boolean get() = state is KeyState.Held || state is KeyState.Sent || state is KeyState.Finished

    /** What a caller whose request was given up may be told. */
    val outcome: RunOutcome
        get() = when ((state as? KeyState.Finished)?.outcome) {
            KeyOutcome.CLOSED -> RunOutcome.NOT_RUN
            KeyOutcome.ANSWERED, KeyOutcome.RAN -> RunOutcome.RAN
            KeyOutcome.UNKNOWN, null -> RunOutcome.UNKNOWN
        }

    /** The record after its claim came to [step]. */
    fun claimed(step: ClaimStep): KeyRecord {
        if (state != KeyState.Claiming) return this
        return when (step) {
            is ClaimStep.Ask -> this
            is ClaimStep.Won -> to(KeyState.Held())
            is ClaimStep.Yield -> to(KeyState.Yielded(step.holder))
            is ClaimStep.Failed -> to(if (step.barred) CLOSED else KeyState.Unclaimed)
        }
    }

    /** The record just before a non-idempotent stage leaves; it may leave only if the state is then [KeyState.Sent]. */
    fun sending(nowMs: Long, deadlineAtMs: Long): KeyRecord = when {
        state !is KeyState.Held -> this
        nowMs >= deadlineAtMs -> abandoned()
        else -> to(KeyState.Sent(state.ran))
    }

    /** The record after the endpoint declined before running, or no byte left: the stage may be sent again. */
    fun declined(): KeyRecord = if (state is KeyState.Sent) to(KeyState.Held(state.ran)) else this

    /** The record after the endpoint gave the result of the stage. */
    fun executed(): KeyRecord = if (state is KeyState.Sent) to(KeyState.Held(ran = true)) else this

    /** The record after every stage has given its result. */
    fun answered(): KeyRecord = if (state is KeyState.Held) finish(KeyOutcome.ANSWERED) else this

    /** The record after the request was given up. Only then may a caller be told what the outcome says. */
    fun abandoned(): KeyRecord = when (state) {
        is KeyState.Held -> finish(if (state.ran) KeyOutcome.RAN else KeyOutcome.CLOSED)
        is KeyState.Sent -> finish(KeyOutcome.UNKNOWN)
        KeyState.Claiming -> to(KeyState.Unclaimed)
        else -> this
    }

    private fun finish(outcome: KeyOutcome) = to(KeyState.Finished(outcome))

    private fun to(next: KeyState) = copy(state = next)

    companion object {
        private val CLOSED = KeyState.Finished(KeyOutcome.CLOSED)
    }
}
