package io.oriolehall.harness.benchmark

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.split
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.path
import io.oriolehall.cli.client.callerHttp
import io.oriolehall.entry.stages.EndpointClient
import io.oriolehall.harness.fleet.Fleet
import io.oriolehall.harness.fleet.fleetSpec
import io.oriolehall.harness.process.MachineLock
import io.oriolehall.model.StageKind
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import java.nio.file.Files
import java.time.Instant
import kotlin.io.path.Path

/** Measures what one entry instance adds over calling the endpoints directly; both ways take turns in one run. */
fun main(args: Array<String>) = EntryOverheadCommand().main(args)

internal class EntryOverheadCommand : CliktCommand("entry-overhead") {
    private val seconds by option(help = "seconds of each round").int().default(ROUND_SECONDS)
    private val rounds by option(help = "rounds of each way and load").int().default(ROUNDS)
    private val warmUp by option("--warm-up", help = "seconds of load each way before a load is measured")
        .int().default(WARM_UP_SECONDS)
    private val times by option(help = "loads, as multiples of a node's share").int().split(",").default(Times)
    private val jvmOption by option(help = "option of the processes' Java machines").multiple()
    private val output by option(help = "file of the result").path().default(Path(RESULT_FILE))

    override fun help(context: Context) = "Measures what one entry instance adds over calling the endpoints directly."

    override fun run() {
        val report = MachineLock.take().use { runBlocking(Dispatchers.Default) { measure() } }
        val text = PrettyJson.encodeToString(OverheadReport.serializer(), report)
        output.toAbsolutePath().parent?.let(Files::createDirectories)
        Files.writeString(output, text + "\n")
        echo(text)
    }

    private suspend fun measure(): OverheadReport = Fleet.start(spec).use { fleet ->
        callerHttp().use { http ->
            val level = OverheadLevel(fleet, EndpointClient(http, { it }), warmUp, seconds, rounds)
            OverheadReport(
                command = commandLine(),
                measuredAt = Instant.now().toString(),
                processors = Runtime.getRuntime().availableProcessors(),
                entryHeapMb = ENTRY_HEAP_MB,
                secondsPerRound = seconds,
                rounds = rounds,
                levels = times.map { measureLevel(level, it * SHARE) },
            )
        }
    }

    private fun commandLine(): String {
        val options = jvmOption.joinToString("") { " --jvm-option=$it" }
        val loads = times.joinToString(",")
        return "entry-overhead --warm-up $warmUp --seconds $seconds --rounds $rounds --times $loads$options"
    }

    private suspend fun measureLevel(level: OverheadLevel, requestsPerSecond: Double): LoadLevelResult {
        echo("measuring at $requestsPerSecond requests/s", err = true)
        return level.measure(requestsPerSecond).also { echo(it.toString(), err = true) }
    }

    private val spec get() = fleetSpec("entry-overhead") {
        entryHeapMb = ENTRY_HEAP_MB
        endpointHeapMb = ENDPOINT_HEAP_MB
        jvmOptions = jvmOption
        zone("z1") {
            entries(1)
            for ((pool, kind) in Pools) {
                repeat(POOL_SIZE) {
                    endpoint("$pool-$it", pool, kind, coldLimit = LIMIT, warmLimit = LIMIT, arguments = Arguments)
                }
            }
        }
        organisation(OverheadLevel.ORGANISATION)
        pipeline(OverheadLevel.PIPELINE) {
            for ((pool, kind) in Pools) stage(kind.name.lowercase(), kind, pool, expectedMs = 1)
        }
    }

    private companion object {
        const val WARM_UP_SECONDS = 20
        const val ROUND_SECONDS = 10
        const val ROUNDS = 2
        const val RESULT_FILE = "docs/measurements/entry-overhead.json"
        const val ENTRY_HEAP_MB = 128
        const val ENDPOINT_HEAP_MB = 128
        const val SHARE = 31.0
        val Times = listOf(1, 10)
        const val POOL_SIZE = 2
        const val LIMIT = 2_000
        val Pools = listOf(
            "encoders" to StageKind.ENCODE,
            "retrievers" to StageKind.RETRIEVE,
            "rerankers" to StageKind.RERANK,
            "engines" to StageKind.GENERATE,
        )
        val Arguments = listOf("--cold-ms=0", "--service-ms=2", "--tokens-per-second=100", "--batch-size=$LIMIT")
        val PrettyJson = Json { prettyPrint = true }
    }
}
