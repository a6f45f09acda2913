package io.oriolehall.harness.experiment

import kotlinx.serialization.Serializable

/**
 * What a stage cost over all instances and organisations, as the instances count it; times in milliseconds.
 *
 * @property busyMs time that endpoints charged for completed calls.
 * @property wastedMs time of calls that were given up, failed or declined.
 */
@Serializable
data class StageCost(
    val stage: String,
    val busyMs: Double,
    val wastedMs: Double,
    val promptTokens: Double,
    val cachedTokens: Double,
) {
    val wastedShare: Double get() = if (wastedMs == 0.0) 0.0 else wastedMs / (busyMs + wastedMs)

    /** Share of the prompts' tokens that engines had in their prefix caches. */
    val hitRate: Double get() = if (cachedTokens == 0.0) 0.0 else cachedTokens / promptTokens

    companion object {
        private val Counter = Regex("""oriolehall_stage_(\w+)_total\{(.*)} (\S+)""")
        private val Label = Regex("""(\w+)="([^"]*)"""")

        /** Costs by stage, from the [pages] of metrics of all instances. */
        fun of(pages: List<String>): List<StageCost> = pages
            .flatMap(String::lines)
            .mapNotNull { Counter.matchEntire(it)?.let(::sampleOf) }
            .groupBy(Sample::stage)
            .map { (stage, samples) -> costOf(stage, samples) }
            .sortedBy(StageCost::stage)

        private class Sample(val name: String, val stage: String, val kind: String?, val value: Double)

        private fun sampleOf(line: MatchResult): Sample {
            val (name, labels, value) = line.destructured
            val byName = Label.findAll(labels).associate { it.groupValues[1] to it.groupValues[2] }
            return Sample(name, byName.getValue("stage"), byName["kind"], value.toDouble())
        }

        private fun costOf(stage: String, samples: List<Sample>): StageCost {
            fun sum(name: String, kind: String? = null) =
                samples.filter { it.name == name && it.kind == kind }.sumOf(Sample::value)
            return StageCost(
                stage = stage,
                busyMs = sum("busy_ms"),
                wastedMs = sum("wasted_ms"),
                promptTokens = sum("tokens", "prompt"),
                cachedTokens = sum("tokens", "cached"),
            )
        }
    }
}
