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

/** Tells the story of one request from the logs of many instances. */
internal class ExplainLogsCommand : CliktCommand("explain-logs") {
    private val request by argument(help = "identifier of the caller's attempt")
    private val files by argument(help = "logs of instances; standard input without any")
        .path(mustExist = true, canBeDir = false)
        .multiple()

    override fun help(context: Context) =
        "Prints what the logs say of a request (*) and what its instances learnt shortly before and meanwhile."

    override fun run() {
        val lines = if (files.isEmpty()) parse(generateSequence(::readlnOrNull)) else files.flatMap(::read)
        val story = RequestStory(request, lines)
        if (story.isEmpty) {
            echo("no line names request $request; search the logs of all instances, and their lines 107", err = true)
            throw ProgramResult(ExitCode.BAD_INPUT)
        }
        story.describe().forEach { echo(it) }
    }

    private fun read(file: Path): List<LogLine> = file.useLines(block = ::parse)

    private fun parse(lines: Sequence<String>): List<LogLine> = lines.mapNotNull(LogLine::parse).toList()
}
