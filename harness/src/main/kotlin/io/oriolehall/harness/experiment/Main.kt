package io.oriolehall.harness.experiment

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.path
import io.oriolehall.model.WireJson
import kotlinx.serialization.builtins.ListSerializer
import java.nio.file.Files
import java.nio.file.Path

/** Measures a scenario under several variants: a table on the output, and a table, JSON and a plot as files. */
fun main(args: Array<String>) = ExperimentCommand().main(args)

private class ExperimentCommand : CliktCommand(name = "experiment") {
    private val scenario by option(help = "what to measure").choice(ScenarioCatalogue.All).required()
    private val variants by option(help = "variants, name:key=value,key=value;name:...")
        .default("leases:limits=leases;equal-split:limits=equal-split,admission=none")
    private val seeds by option(help = "number of runs of each variant").int().default(2)
    private val firstSeed by option(help = "seed of the first run").int().default(1)
    private val commit by option(help = "commit that is measured, for the report").default("unknown")
    private val out by option(help = "directory of the files").path().default(Path.of("docs", "measurements"))

    override fun run() {
        val seedList = (firstSeed until firstSeed + seeds).map(Int::toLong)
        echo(ReportTable.Header)
        val runs = Experiment(scenario, parse(variants), seedList) { echo(it) }.run()
        Files.createDirectories(out)
        Files.writeString(out.resolve("${scenario.name}.md"), page(runs))
        Files.writeString(out.resolve("${scenario.name}.svg"), PlotSvg.of(runs))
        val json = WireJson.encodeToString(ListSerializer(RunResult.serializer()), runs)
        Files.writeString(out.resolve("${scenario.name}.json"), json + "\n")
    }

    private fun page(runs: List<RunResult>) = """
        |# ${scenario.name}
        |
        |${scenario.purpose.replaceFirstChar(
        Char::uppercase,
    )}. Commit $commit, seeds $firstSeed to ${firstSeed + seeds - 1}.
        |
        |    java -cp 'harness/target/lib/*:harness/target/classes' io.oriolehall.harness.experiment.MainKt \
        |      --scenario ${scenario.name} --seeds $seeds --first-seed $firstSeed \
        |      --variants '$variants'
        |
        |${ReportTable.of(runs).replace("\n", "\n|")}
        |![answers in time](${scenario.name}.svg)
        |
    """.trimMargin()

    private fun parse(text: String): List<PolicyVariant> = text.split(';').map { variant ->
        val settings = variant.substringAfter(':', "").split(',').filter(String::isNotBlank)
        PolicyVariant(
            variant.substringBefore(':'),
            settings.associate { it.substringBefore('=').trim() to it.substringAfter('=').trim() },
        )
    }
}
