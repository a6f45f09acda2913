package io.oriolehall.entry.keys

import io.oriolehall.model.Refusal
import io.oriolehall.model.RunOutcome

/** Guard of a request that was passed on to another instance: nothing leaves here, and nothing is known. */
internal object RelayGuard : SendGuard {
    override fun allowSend() = false

    override fun declined() = Unit

    override fun executed() = Unit

    override fun answered() = Unit

    override fun settle(refusal: Refusal) = refusal.copy(outcome = RunOutcome.UNKNOWN)
}
