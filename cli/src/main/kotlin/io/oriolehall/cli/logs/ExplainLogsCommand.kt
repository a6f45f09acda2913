package io.oriolehall.cli.logs

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.types.path
import io.oriolehall.cli.ExitCode
import java.nio.file.Path
import kotlin.io.path.useLines

/** Prints the timeline of one request, assembled from the logs of several instances. */
internal class ExplainLogsCommand : CliktCommand("explain-logs") {
    private val request by argument(help = "identifier of the caller's attempt")
    private val files by argument(help = "log files of instances; if omitted, reads standard input")
        .path(mustExist = true, canBeDir = false)
        .multiple()

    override fun help(context: Context) =
        "Prints the log lines of a request (marked *) and related events of its instances shortly before and during it."

    override fun run() {
        val lines = if (files.isEmpty()) parse(generateSequence(::readlnOrNull)) else files.flatMap(::read)
        val timeline = RequestTimeline(request, lines)
        if (timeline.isEmpty) {
            echo(
                "no line names request $request; search the logs of all instances, also for event 107 (dropped lines)",
                err = true,
            )
            throw ProgramResult(ExitCode.BAD_INPUT)
        }
        timeline.describe().forEach { echo(it) }
    }

    private fun read(file: Path): List<LogLine> = file.useLines(block = ::parse)

    private fun parse(lines: Sequence<String>): List<LogLine> = lines.mapNotNull(LogLine::parse).toList()
}
