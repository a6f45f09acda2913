package io.oriolehall.entry.stopping

import io.oriolehall.model.settings.StopSettings
import io.oriolehall.runtime.Event
import io.oriolehall.runtime.EventLog
import io.oriolehall.runtime.TimerService
import kotlinx.coroutines.delay

/** What a stopping instance still has to finish. */
interface UnfinishedWork {
    /** Requests that still run. */
    val requests: Int

    /** Answers that are being written to callers. */
    val responses: Int
}

/**
 * The way from a stop signal to the end of the process: the instance turns not ready and announces that it leaves; goes
 * on serving while the balancer still sends; then refuses and finishes what it has, for a bounded time; then reports
 * what was left.
 */
class GracefulStop(
    private val settings: StopSettings,
    private val work: UnfinishedWork,
    private val timers: TimerService,
    private val log: EventLog,
) {
    /** True from the stop signal on: the instance is not ready. */
    @Volatile
    var leaving = false
        private set

    /** True when new requests are refused. */
    @Volatile
    var refusing = false
        private set

    /** Runs the stop up to the point where the process may end. [announce] tells the other instances. */
    suspend fun run(announce: suspend () -> Unit) {
        leaving = true
        log.write(Event.INSTANCE_STOPPING, "requests" to work.requests, "responses" to work.responses)
        announce()
        delay(settings.keepServingMs)
        refusing = true
        val deadline = timers.nowMs() + settings.waitMs
        while (unfinished() && timers.nowMs() < deadline) delay(POLL_MS)
        val event = if (unfinished()) Event.WORK_CUT_OFF else Event.WORK_FINISHED
        log.write(event, "requests" to work.requests, "responses" to work.responses)
    }

    private fun unfinished() = work.requests > 0 || work.responses > 0

    private companion object {
        const val POLL_MS = 20L
    }
}
