package io.oriolehall.runtime

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** Timer service that runs its actions in [scope], whose dispatcher must be the control thread. */
class CoroutineTimerService(
    private val scope: CoroutineScope,
    private val log: EventLog,
    private val random: Random = Random.Default,
) : TimerService {
    override fun nowMs(): Long = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())

    override fun wallClockMs(): Long = System.currentTimeMillis()

    override fun every(name: String, periodMs: Long, jitter: Double, action: suspend () -> Unit): Subscription {
        val job = scope.launch {
            while (isActive) {
                delay(withJitter(periodMs, jitter))
                runLogged(name, action)
            }
        }
        return Subscription { job.cancel() }
    }

    override fun after(name: String, delayMs: Long, action: suspend () -> Unit): Subscription {
        val job = scope.launch {
            delay(delayMs)
            runLogged(name, action)
        }
        return Subscription { job.cancel() }
    }

    private fun withJitter(periodMs: Long, jitter: Double): Long {
        if (jitter <= 0.0) return periodMs
        val factor = 1.0 + random.nextDouble(-jitter, jitter)
        return (periodMs * factor).toLong()
    }

    private suspend fun runLogged(name: String, action: suspend () -> Unit) {
        try {
            action()
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            log.write(Event.TIMER_ACTION_FAILED, "timer" to name, "error" to e.toString())
        }
    }
}
