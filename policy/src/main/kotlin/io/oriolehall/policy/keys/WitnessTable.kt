package io.oriolehall.policy.keys

import java.util.concurrent.ConcurrentHashMap

/**
 * The grants of one witness. Thread-safe.
 *
 * The `nowMs` passed to its functions must never decrease within a process, or an expired key could be granted again.
 */
class WitnessTable(private val rules: KeyRules) {
    private val witness = Witness(rules)
    private val grants = ConcurrentHashMap<String, Grant>()

    /** Number of recorded grants. */
    val size: Int get() = grants.size

    /** Answers [request] and records the grant if it is given. */
    fun claim(request: ClaimRequest, status: WitnessStatus, nowMs: Long): WitnessAnswer {
        var answer: WitnessAnswer = WitnessAnswer.Silent
        grants.compute(request.key) { _, grant ->
            answer = witness.evaluate(request, grant?.holder, status, nowMs)
            grant ?: Grant(request.holder, request.bornAtMs).takeIf { answer == WitnessAnswer.Granted }
        }
        return answer
    }

    /** Removes the grants of expired keys, which no witness grants any more. */
    fun removeExpired(nowMs: Long) {
        grants.values.removeIf { rules.expired(it.bornAtMs, nowMs) }
    }

    private data class Grant(val holder: KeyHolder, val bornAtMs: Long)
}
