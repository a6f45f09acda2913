package io.oriolehall.policy.limits

/** How a call to an endpoint ended. */
enum class CallResult {
    COMPLETED,

    /** The endpoint rejected the call without running it. */
    DECLINED,

    /** The endpoint could not be reached, broke the connection, or answered with an error. */
    FAILED,

    /** This instance ended the call, for instance because the caller disconnected. */
    CANCELLED,
}

/** Accumulates the call results that a holder observes at an endpoint between two credit requests. */
internal class ObservedWorkAccumulator {
    private var work = ObservedWork()

    /** Adds a call; [firstOutputMs] is used only if it completed. */
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

    /** Returns the work accumulated since the previous call and starts again from zero. */
    fun takeAndReset(): ObservedWork = work.also { work = ObservedWork() }
}
