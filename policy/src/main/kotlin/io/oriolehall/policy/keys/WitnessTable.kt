package io.oriolehall.policy.keys

import java.util.concurrent.ConcurrentHashMap

/**
 * The grants of one witness. Safe for use by many threads.
 *
 * [nowMs] must never go back in the life of a process, or an expired grant could be given again.
 */
class WitnessTable(private val rules: KeyRules) {
    private val witness = Witness(rules)
    private val grants = ConcurrentHashMap<String, Grant>()

    /** Number of keys remembered. */
    val size: Int get() = grants.size

    /** Answers [request] and remembers a grant. */
    fun claim(request: ClaimRequest, standing: WitnessStanding, nowMs: Long): WitnessAnswer {
        var answer: WitnessAnswer = WitnessAnswer.Silent
        grants.compute(request.key) { _, grant ->
            answer = witness.judge(request, grant?.holder, standing, nowMs)
            grant ?: Grant(request.holder, request.bornAtMs).takeIf { answer == WitnessAnswer.Granted }
        }
        return answer
    }

    /** Forgets keys that no witness grants any more because of their age. */
    fun forgetExpired(nowMs: Long) {
        grants.values.removeIf { rules.expired(it.bornAtMs, nowMs) }
    }

    private data class Grant(val holder: KeyHolder, val bornAtMs: Long)
}
