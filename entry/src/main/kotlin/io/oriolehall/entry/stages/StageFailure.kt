package io.oriolehall.entry.stages

/**
 * Why a stage call gave no result.
 *
 * @property ran false only when the endpoint certainly did not run the call.
 */
sealed class StageFailure(val message: String, val ran: Boolean) {
    /** No connection could be made; no byte left this instance. */
    class Unreachable(message: String) : StageFailure(message, ran = false)

    /** The endpoint said that it would not run the call. */
    class Declined(message: String) : StageFailure(message, ran = false)

    /** The request's guard did not let the call leave. */
    class Withheld(message: String) : StageFailure(message, ran = false)

    /** The connection broke or the answer did not come. */
    class Lost(message: String) : StageFailure(message, ran = true)

    /** The endpoint answered with an error of its own. */
    class Failed(message: String) : StageFailure(message, ran = true)

    /** The answer was to another call, or was not whole. */
    class Mismatched(message: String) : StageFailure(message, ran = true)

    /** The endpoint generated another text than was already handed on. */
    class Diverged(message: String) : StageFailure(message, ran = true)

    override fun toString(): String = "${this::class.simpleName}: $message"
}
