package io.oriolehall.gateway.requests

import io.micrometer.core.instrument.DistributionSummary
import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Tags
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.oriolehall.dispatch.retries.SecondAttemptObstacle
import io.oriolehall.dispatch.stages.PlannedCall
import io.oriolehall.gateway.feed.PlatformFeed
import io.oriolehall.gateway.feed.PublishedState
import java.time.Duration
import java.util.concurrent.TimeUnit

/**
 * Counters and histograms of a gateway instance, in the Prometheus text format. Requests are counted by route,
 * organisation and outcome. The time to the first byte and the duration of the stages are histograms by route; calls to
 * stage workers are recorded by service.
 */
internal class GatewayMetrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    fun scrape(): String = registry.scrape()

    /** Shows the memory of answers that are being collected, in bytes, as a gauge. */
    fun observeAnswerMemory(takenBytes: () -> Long) {
        Gauge.builder("oriolehall.answer.memory", takenBytes) { it().toDouble() }
            .baseUnit("bytes")
            .strongReference(true)
            .register(registry)
    }

    /**
     * Shows the era of the platform's store that this instance knows, and counts its calls to the store. The registry
     * refers to [state] and [feed] weakly.
     */
    fun observeStore(state: PublishedState, feed: PlatformFeed) {
        Gauge.builder("oriolehall.store.era", state) { it.era.toDouble() }.register(registry)
        FunctionCounter.builder("oriolehall.store.calls", feed) { it.calls.toDouble() }.register(registry)
    }

    /** Records a completed request whose first byte was sent to the caller after [firstByteMs] milliseconds. */
    fun recordCompleted(context: RequestContext, outcome: String, firstByteMs: Long) {
        recordEnded(context, outcome)
        timer("oriolehall.request.first.byte", "route", context.route.name).record(firstByteMs, TimeUnit.MILLISECONDS)
        val stagesMs = context.trace.stagesMs ?: return
        timer("oriolehall.request.stages", "route", context.route.name).record(stagesMs, TimeUnit.MILLISECONDS)
    }

    /** Counts a request by its [outcome]. */
    fun recordEnded(context: RequestContext, outcome: String) {
        val organisation = context.organisation?.id?.value ?: NO_VALUE
        count("oriolehall.requests", Tags.of("route", context.route.name, "outcome", outcome))
        count("oriolehall.requests.by.organisation", Tags.of("organisation", organisation, "outcome", outcome))
    }

    /** Counts a request that the gateway rejected; [context] is null when the request was not admitted. */
    fun recordRejected(context: RequestContext?, rejection: Rejection) {
        if (context != null) recordEnded(context, "rejected")
        count("oriolehall.rejections", Tags.of("kind", rejection.kind, "route", context?.route?.name ?: NO_VALUE))
    }

    /** Counts an attempt at an endpoint of [service]. */
    fun recordAttempt(service: String, outcome: AttemptOutcome) {
        val outcomeLabel = when (outcome) {
            is AttemptOutcome.Delivered, is AttemptOutcome.Complete -> "delivered"
            is AttemptOutcome.Superseded -> "cancelled"
            is AttemptOutcome.NotRun -> "not_run"
            is AttemptOutcome.Failure -> "failure"
            is AttemptOutcome.Lost -> "lost"
        }
        count("oriolehall.attempts", Tags.of("service", service, "outcome", outcomeLabel))
    }

    /** Counts a second attempt at [service] that ended with [outcome] and took [workMs] at its endpoint. */
    fun recordSecondAttempt(service: String, outcome: String, workMs: Long) {
        count("oriolehall.second.attempts", Tags.of("service", service, "outcome", outcome))
        registry.counter("oriolehall.second.attempt.work.ms", Tags.of("service", service)).increment(workMs.toDouble())
    }

    /** Counts a slow request to [service] that [limit] refused a second attempt. */
    fun recordSecondAttemptRefused(service: String, limit: SecondAttemptObstacle) {
        val outcome = "refused_${limit.name.lowercase()}"
        count("oriolehall.second.attempts", Tags.of("service", service, "outcome", outcome))
    }

    /** Counts a request to an endpoint of [service] whose process ended, before or after the answer had begun. */
    fun recordEndpointLoss(service: String, answerBegun: Boolean) =
        count("oriolehall.endpoint.losses", Tags.of("service", service, "answer_begun", "$answerBegun"))

    /**
     * Counts a [signal] of an endpoint: that it leaves, that it pauses, its load, a pause or load that cannot be
     * read, or a malformed response.
     */
    fun recordEndpointSignal(signal: String) = count("oriolehall.endpoint.signals", Tags.of("signal", signal))

    /** Records a [call] to a worker of [service] that took [elapsedMs] milliseconds. */
    fun recordStageCall(service: String, call: PlannedCall, elapsedMs: Long, succeeded: Boolean) {
        val tags = Tags.of("service", service, "outcome", if (succeeded) "answered" else "failed")
        count("oriolehall.stage.calls", tags)
        timer("oriolehall.stage.call", "service", service).record(elapsedMs, TimeUnit.MILLISECONDS)
        DistributionSummary.builder("oriolehall.stage.call.pieces").tag("service", service).register(registry)
            .record(call.pieces.size.toDouble())
        count("oriolehall.stage.choices", Tags.of("service", service, "choice", call.choice.name.lowercase()))
    }

    private fun count(name: String, tags: Tags) = registry.counter(name, tags).increment()

    @Suppress("SpreadOperator") // The builder takes the buckets as varargs.
    private fun timer(name: String, tag: String, value: String): Timer =
        Timer.builder(name).tag(tag, value).serviceLevelObjectives(*BUCKETS).register(registry)

    private companion object {
        const val NO_VALUE = "none"

        /** Upper bounds of the histogram buckets, milliseconds; objectives are between 0.1 and 3 s. */
        val BUCKETS = listOf(25L, 50, 100, 200, 400, 800, 1_200, 1_600, 2_000, 2_500, 3_000, 5_000, 10_000)
            .map(Duration::ofMillis)
            .toTypedArray()
    }
}
