package io.oriolehall.dispatch.store

/*
 * When a restored store can be trusted. The store may come back from a copy that is some seconds old. The operator and
 * the endpoints then write again what they had written, so a read of a new era states the newest facts only after they
 * have had time for that, or once a writer has been seen to write in the new era.
 */

/**
 * Tracks the era of the store and the time since the store came back in that era. All times are monotonic milliseconds.
 * Not thread-safe.
 */
class RestorePeriod {
    /** Newest known era of the store. */
    var era = 0L
        private set

    private var learntAtMs = 0L
    private var returnedAtMs: Long? = null
    private var configWritten = false

    /** True while the state of an earlier era is protected from the copy; a complete listing ends it. */
    var protecting = false
        private set

    /** True once a configuration has been confirmed in this era. */
    var configConfirmed = true
        private set

    /**
     * Records that the store is in [era]. Returns true if that is a new one.
     *
     * @param hasState true if there is a state of an earlier era that the copy must not undo.
     */
    fun learn(era: Long, nowMs: Long, hasState: Boolean): Boolean {
        if (era <= this.era) return false
        this.era = era
        learntAtMs = nowMs
        returnedAtMs = null
        configWritten = false
        configConfirmed = false
        protecting = hasState
        return true
    }

    /**
     * Records that the store has answered a read of its current era. [interrupted] is true if it had not answered
     * before; during the protection, writers then get their time again.
     */
    fun onStoreAnswer(nowMs: Long, interrupted: Boolean) {
        if (returnedAtMs == null || (interrupted && protecting)) returnedAtMs = nowMs
    }

    /** Takes over the age of the current era from another instance that has seen the return of the store. */
    fun adoptAge(ageMs: Long, nowMs: Long) {
        if (era == 0L || ageMs < 0) return
        returnedAtMs = minOf(returnedAtMs ?: Long.MAX_VALUE, nowMs - ageMs)
        if (ageMs < LOST_CHANGE_HOLD_MS) protecting = true
    }

    /** Protects a state of an earlier era, learnt from another instance after the era. */
    fun protect() {
        protecting = true
    }

    /** Milliseconds since the store came back in the current era; negative if it has not answered yet. */
    fun ageMs(nowMs: Long): Long = returnedAtMs?.let { nowMs - it } ?: -1

    /** Records that the operator has written the configuration in the current era. */
    fun onConfigWritten() {
        configWritten = true
    }

    /** Records that the configuration has been confirmed in the current era. */
    fun onConfigConfirmed() {
        configConfirmed = true
    }

    /**
     * True if a read that was sent at [sentAtMs] shows the newest configuration. A read of the copy does not, because a
     * newer configuration that revoked a key may be lost until the operator writes it again.
     */
    fun mayConfirmConfig(sentAtMs: Long): Boolean =
        era == 0L || configWritten || returnedAtMs?.let { sentAtMs >= it + REWRITE_MS } ?: false

    /** True when a complete listing has to end the protection: what the store shows now was not lost, or is final. */
    fun listingDue(nowMs: Long): Boolean =
        protecting && nowMs >= (returnedAtMs ?: learntAtMs) + LOST_CHANGE_HOLD_MS

    /** Records that a listing which was due has been applied. */
    fun endProtection() {
        protecting = false
    }

    /** Milliseconds until the next time limit of the restore; null if there is none. */
    fun nextLimitInMs(nowMs: Long): Long? {
        val returned = returnedAtMs ?: return null
        val confirmation = (returned + REWRITE_MS).takeIf { !configConfirmed }
        val listing = (returned + LOST_CHANGE_HOLD_MS).takeIf { protecting }
        return listOfNotNull(confirmation, listing).minOrNull()?.let { maxOf(0, it - nowMs) }
    }

    companion object {
        /** Time in which the operator and the endpoints write again after the return, stated by the operators. */
        const val REWRITE_MS = 2_000L

        /**
         * How long changes that the copy lost are kept if nobody writes them again. Above [REWRITE_MS], because a
         * request to a draining endpoint or an evacuated zone costs more than some seconds without their capacity.
         */
        const val LOST_CHANGE_HOLD_MS = 5_000L

        /** Changes that are older than this are not missing from a copy, which is some seconds old, milliseconds. */
        const val MAX_COPY_AGE_MS = 60_000L
    }
}
