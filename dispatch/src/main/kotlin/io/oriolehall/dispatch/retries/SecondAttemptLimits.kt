package io.oriolehall.dispatch.retries

/**
 * What operators accept as the cost of second attempts for slow repeatable requests, for each service.
 *
 * @property requestShare second attempts per request, 0 to [MAX_SHARE].
 * @property workShare time that second attempts take at endpoints, per time that first attempts take, 0 to [MAX_SHARE].
 */
data class SecondAttemptLimits(val requestShare: Double, val workShare: Double) {
    init {
        require(requestShare in 0.0..MAX_SHARE) {
            "request-share is $requestShare; use a fraction from 0 to $MAX_SHARE"
        }
        require(workShare in 0.0..MAX_SHARE) { "work-share is $workShare; use a fraction from 0 to $MAX_SHARE" }
    }

    /** False if the limits permit no second attempt. */
    val enabled: Boolean get() = requestShare > 0 && workShare > 0

    /** Share of the responses that arrive before a second attempt is considered. */
    val quantile: Double get() = (1 - requestShare).coerceAtMost(MAX_QUANTILE)

    companion object {
        /** Beyond a fifth of the requests, second attempts would go to requests of ordinary speed. */
        const val MAX_SHARE = 0.2

        /** The highest quantile that the observations of one [ResponseTimes] can tell from their maximum. */
        private const val MAX_QUANTILE = 0.98
    }
}
