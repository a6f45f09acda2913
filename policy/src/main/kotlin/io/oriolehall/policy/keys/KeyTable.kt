package io.oriolehall.policy.keys

import java.util.concurrent.ConcurrentHashMap

/** The key records of one process. Thread-safe; each record is updated atomically. */
class KeyTable(private val arrivalPolicy: KeyArrivalPolicy, private val rules: KeyRules) {
    private val records = ConcurrentHashMap<String, KeyRecord>()

    /** Number of keys with a record. */
    val size: Int get() = records.size

    /** The record of [key], or null. */
    fun find(key: String): KeyRecord? = records[key]

    /**
     * Decides how to handle an arriving request and stores the record of a request that begins; see
     * [KeyArrivalPolicy.decide].
     */
    fun onArrival(
        key: IdempotencyKey,
        digest: RequestDigest,
        nowMs: Long,
        relayedTo: KeyHolder? = null,
    ): ArrivalDecision {
        var decision: ArrivalDecision = ArrivalDecision.HolderLost
        records.compute(key.text) { _, record ->
            decision = arrivalPolicy.decide(key, digest, record, nowMs, relayedTo)
            (decision as? ArrivalDecision.Begin)?.record ?: record
        }
        return decision
    }

    /** Applies [transition] to the record of [key]; returns the record before and after, or null if there is none. */
    fun change(key: String, transition: (KeyRecord) -> KeyRecord): RecordChange? {
        var change: RecordChange? = null
        records.computeIfPresent(key) { _, record -> transition(record).also { change = RecordChange(record, it) } }
        return change
    }

    /** Removes the records whose keys have expired and that have no work in progress. */
    fun removeExpired(nowMs: Long) {
        records.values.removeIf { rules.expired(it.bornAtMs, nowMs) && it.state.isSettled() }
    }
}

/** A record before and after a transition. */
data class RecordChange(val before: KeyRecord, val after: KeyRecord) {
    /** True when the transition moved the record to a state of type [S]. */
    inline fun <reified S : KeyState> entered(): Boolean = after.state is S && before.state != after.state
}
