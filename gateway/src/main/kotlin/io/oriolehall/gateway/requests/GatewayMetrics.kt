package io.oriolehall.gateway.requests

import io.micrometer.core.instrument.DistributionSummary
import io.micrometer.core.instrument.Tags
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.time.Duration
import java.util.concurrent.TimeUnit

/**
 * Counters and histograms of a gateway instance, as Prometheus text. Requests are counted by route, organisation and
 * outcome; time to the first byte and the time of stages are histograms by route; calls of stage workers by service.
 */
internal class GatewayMetrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    fun scrape(): String = registry.scrape()

    /** A request was answered; its first byte went to the caller after [firstMs] milliseconds. */
    fun answered(context: RequestContext, outcome: String, firstMs: Long) {
        ended(context, outcome)
        timer("oriolehall.request.first.byte", "route", context.route.name).record(firstMs, TimeUnit.MILLISECONDS)
        val stagesMs = context.trace.stagesMs ?: return
        timer("oriolehall.request.stages", "route", context.route.name).record(stagesMs, TimeUnit.MILLISECONDS)
    }

    fun ended(context: RequestContext, outcome: String) {
        val organisation = context.organisation?.id?.value ?: NONE
        count("oriolehall.requests", Tags.of("route", context.route.name, "outcome", outcome))
        count("oriolehall.requests.by.organisation", Tags.of("organisation", organisation, "outcome", outcome))
    }

    /** The instance answered itself; [context] is null when the request was not let in. */
    fun rejected(context: RequestContext?, rejection: Rejection) {
        if (context != null) ended(context, "rejected")
        count("oriolehall.rejections", Tags.of("kind", rejection.kind, "route", context?.route?.name ?: NONE))
    }

    fun attempted(service: String, outcome: AttemptOutcome) {
        val word = when (outcome) {
            is AttemptOutcome.Delivered -> "delivered"
            is AttemptOutcome.NotRun -> "not_run"
            is AttemptOutcome.Failure -> "failure"
            is AttemptOutcome.Lost -> "lost"
        }
        count("oriolehall.attempts", Tags.of("service", service, "outcome", word))
    }

    /** A call of [pieces] pieces to a worker of [service] took [elapsedMs] milliseconds. */
    fun stageCall(service: String, pieces: Int, elapsedMs: Long, answered: Boolean) {
        val tags = Tags.of("service", service, "outcome", if (answered) "answered" else "failed")
        count("oriolehall.stage.calls", tags)
        timer("oriolehall.stage.call", "service", service).record(elapsedMs, TimeUnit.MILLISECONDS)
        DistributionSummary.builder("oriolehall.stage.call.pieces").tag("service", service).register(registry)
            .record(pieces.toDouble())
    }

    private fun count(name: String, tags: Tags) = registry.counter(name, tags).increment()

    @Suppress("SpreadOperator") // The builder takes the buckets as separate arguments.
    private fun timer(name: String, tag: String, value: String): Timer =
        Timer.builder(name).tag(tag, value).serviceLevelObjectives(*Buckets).register(registry)

    private companion object {
        const val NONE = "none"

        /** Upper bounds of the histograms' buckets; objectives lie between 0.1 and 3 s. */
        val Buckets = listOf(25L, 50, 100, 200, 400, 800, 1_200, 1_600, 2_000, 2_500, 3_000, 5_000, 10_000)
            .map(Duration::ofMillis)
            .toTypedArray()
    }
}
