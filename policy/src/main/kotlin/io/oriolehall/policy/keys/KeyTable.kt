package io.oriolehall.policy.keys

import java.util.concurrent.ConcurrentHashMap

/** The keys that one process remembers. Safe for use by many threads; each key changes in one step. */
class KeyTable(private val home: KeyHome, private val rules: KeyRules) {
    private val records = ConcurrentHashMap<String, KeyRecord>()

    /** Number of keys remembered. */
    val size: Int get() = records.size

    /** What this process remembers of [key], or null. */
    fun find(key: String): KeyRecord? = records[key]

    /** Takes in an arriving request; see [KeyHome.arrive]. */
    fun arrive(
        key: IdempotencyKey,
        digest: RequestDigest,
        nowMs: Long,
        relayedTo: KeyHolder? = null,
    ): Arrival {
        var arrival: Arrival = Arrival.HolderLost
        records.compute(key.text) { _, record ->
            arrival = home.arrive(key, digest, record, nowMs, relayedTo)
            (arrival as? Arrival.Begin)?.record ?: record
        }
        return arrival
    }

    /** Changes the record of [key] by [transition] and returns the record before and after it. */
    fun change(key: String, transition: (KeyRecord) -> KeyRecord): RecordChange? {
        var change: RecordChange? = null
        records.computeIfPresent(key) { _, record -> transition(record).also { change = RecordChange(record, it) } }
        return change
    }

    /** Forgets requests that have come to an end and whose keys have expired. */
    fun forgetExpired(nowMs: Long) {
        records.values.removeIf { rules.expired(it.bornAtMs, nowMs) && it.state.isSettled() }
    }
}

/** A record before and after a transition. */
data class RecordChange(val before: KeyRecord, val after: KeyRecord) {
    /** True when the transition moved the record to a state of type [S]. */
    inline fun <reified S : KeyState> entered(): Boolean = after.state is S && before.state != after.state
}
