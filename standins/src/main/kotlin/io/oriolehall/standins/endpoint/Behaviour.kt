package io.oriolehall.standins.endpoint

import kotlinx.serialization.Serializable
import java.util.concurrent.atomic.AtomicInteger

/**
 * Body of `PUT /behaviour`: the faults of an endpoint from now on. A body replaces the whole behaviour.
 *
 * @property delayMs added to the time of each call, milliseconds.
 * @property failBefore number of coming calls that are declined with 503 before they run.
 * @property failAfter number of coming calls that run and then answer 500; a stream breaks off half way and is
 *   forgotten.
 * @property loseReply number of coming calls that run and whose reply never arrives; a stream stalls half way on this
 *   connection only.
 * @property duplicateReply number of coming calls whose reply arrives twice; a stream sends each line twice.
 * @property staleLines number of coming streams that mix lines of an earlier attempt into their own.
 * @property otherText number of coming streams whose text differs from what other engines generate.
 * @property coldNow true makes the endpoint cold at once.
 * @property slowFactor how many times slower the endpoint is.
 * @property crashOnInputContaining text whose presence in a call's input ends the process.
 * @property pauseBeforeRunMs wait between accepting a call and running it, milliseconds.
 * @property pauseAfterRunMs wait between running a call and replying, milliseconds.
 */
@Serializable
data class Behaviour(
    val delayMs: Long = 0,
    val failBefore: Int = 0,
    val failAfter: Int = 0,
    val loseReply: Int = 0,
    val duplicateReply: Int = 0,
    val staleLines: Int = 0,
    val otherText: Int = 0,
    val coldNow: Boolean = false,
    val slowFactor: Double = 1.0,
    val crashOnInputContaining: String? = null,
    val pauseBeforeRunMs: Long = 0,
    val pauseAfterRunMs: Long = 0,
)

/** The behaviour in force and how many calls each counted fault still applies to. */
internal class BehaviourInForce(val behaviour: Behaviour = Behaviour()) {
    private val failBefore = AtomicInteger(behaviour.failBefore)
    private val failAfter = AtomicInteger(behaviour.failAfter)
    private val loseReply = AtomicInteger(behaviour.loseReply)
    private val duplicateReply = AtomicInteger(behaviour.duplicateReply)
    private val staleLines = AtomicInteger(behaviour.staleLines)
    private val otherText = AtomicInteger(behaviour.otherText)

    fun takeFailBefore() = take(failBefore)

    fun takeFailAfter() = take(failAfter)

    fun takeLoseReply() = take(loseReply)

    fun takeDuplicateReply() = take(duplicateReply)

    fun takeStaleLines() = take(staleLines)

    fun takeOtherText() = take(otherText)

    private fun take(left: AtomicInteger) = left.getAndUpdate { (it - 1).coerceAtLeast(0) } > 0
}
