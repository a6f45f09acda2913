package io.oriolehall.entry.keys

import io.oriolehall.model.Refusal

/**
 * Stands before each non-idempotent stage of a request and says at its end what is true of it. One coroutine, the one
 * that runs the request, calls it.
 */
interface SendGuard {
    /** True when a non-idempotent stage may leave now; the caller sends it at once. */
    fun allowSend(): Boolean

    /** The endpoint declined before running, or no byte left. */
    fun declined()

    /** The endpoint gave the stage's result. */
    fun executed()

    /** Every stage has given its result. */
    fun answered()

    /** Ends the request and returns [refusal] with the outcome that is then true. */
    fun settle(refusal: Refusal): Refusal

    /** Guard of requests that may run twice. */
    object Unguarded : SendGuard {
        override fun allowSend() = true

        override fun declined() = Unit

        override fun executed() = Unit

        override fun answered() = Unit

        override fun settle(refusal: Refusal) = refusal
    }
}
