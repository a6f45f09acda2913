package io.oriolehall.gateway.feed

/**
 * How often the platform and other instances are asked for changes, derived from the operators' bounds. Every call to
 * the platform is billed, so the bounds are used instead of asking as often as possible. A change passes at most one
 * pause at a reader of the platform and, if that reader has lost the platform, [maxSilenceMs] and one more query.
 *
 * All values are milliseconds.
 *
 * @property confirmationMs longest wait of a platform watch by an instance that nobody follows.
 * @property maxWaitMs longest wait of one query for changes, at a reader of the platform and by its followers.
 * @property minIntervalMs time between two queries to the platform when changes arrive continuously; changes within
 *   this time arrive together.
 * @property maxSilenceMs a reader that has had no answer from the platform for longer is not followed.
 */
data class ReadingPace(
    val confirmationMs: Long,
    val maxWaitMs: Long,
    val minIntervalMs: Long,
    val maxSilenceMs: Long,
) {
    companion object {
        /** Longest wait of a watch if API keys need no confirmation. */
        private const val MAX_WATCH_MS = 15_000L
        private const val SILENCE_SHARE = 0.45
        private const val INTERVAL_SHARE = 0.1

        /** Time for the answer to a query, beyond its wait. */
        private const val ANSWER_MARGIN_MS = 200L

        /** Queries per revocation period, so that a confirmation of the configuration may fail twice in a row. */
        private const val QUERIES_PER_REVOCATION = 4
        private const val MIN_WAIT_MS = 100L

        /**
         * The pace at which a configuration is in force within [configApplyMs], and at which the configuration is
         * confirmed often enough to accept API keys, which must stop working [keyRevocationMs] after their removal;
         * null if they may be accepted without confirmation.
         */
        fun within(configApplyMs: Long, keyRevocationMs: Long?): ReadingPace {
            val maxSilenceMs = (configApplyMs * SILENCE_SHARE).toLong()
            val minIntervalMs = (configApplyMs * INTERVAL_SHARE).toLong()
            val longestWaitMs = maxSilenceMs - minIntervalMs - ANSWER_MARGIN_MS
            val confirmationMs = keyRevocationMs?.let { it / QUERIES_PER_REVOCATION } ?: MAX_WATCH_MS
            return ReadingPace(
                confirmationMs = confirmationMs,
                maxWaitMs = minOf(longestWaitMs, confirmationMs).coerceAtLeast(MIN_WAIT_MS),
                minIntervalMs = minIntervalMs,
                maxSilenceMs = maxSilenceMs,
            )
        }
    }
}
