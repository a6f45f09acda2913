package io.oriolehall.policy.limits

/** How a call to an endpoint ended. */
enum class CallResult {
    COMPLETED,

    /** The endpoint turned the call away before it ran. */
    DECLINED,

    /** The endpoint could not be reached, broke the connection, or answered with an error. */
    FAILED,

    /** This instance ended the call, for instance because the caller had gone. */
    CANCELLED,
}

/** Adds up what a holder saw of an endpoint between two requests. */
internal class WorkTally {
    private var work = ObservedWork()

    /** Adds a call; [firstOutputMs] counts for completed ones. */
    fun add(result: CallResult, firstOutputMs: Double) {
        work = when (result) {
            CallResult.COMPLETED -> work.copy(
                completed = work.completed + 1,
                meanMs = (work.meanMs * work.completed + firstOutputMs) / (work.completed + 1),
            )

            CallResult.DECLINED -> work.copy(declined = work.declined + 1)

            CallResult.FAILED -> work.copy(failed = work.failed + 1)

            CallResult.CANCELLED -> work
        }
    }

    /** The sum since the last call of this function. */
    fun drain(): ObservedWork = work.also { work = ObservedWork() }
}
