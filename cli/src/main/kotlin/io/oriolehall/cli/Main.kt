package io.oriolehall.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import io.oriolehall.cli.logs.ExplainLogsCommand

/*
 * The `oriolehall` command. Exit codes: 0 success; 1 invalid usage or input; 2 the request was refused or its answer
 * is incomplete; 3 the instance cannot be reached.
 */

/** Runs the subcommand named by the first argument. */
fun main(args: Array<String>) = oriolehall().main(args)

internal fun oriolehall(): CliktCommand = OriolehallCommand().subcommands(
    RunCommand(),
    CheckCommand().subcommands(CheckSettingsCommand(), CheckTicketCommand()),
    SendCommand(),
    ResumeCommand(),
    StatusCommand(),
    AuditCommand(),
    ExplainCommand(),
    ExplainLogsCommand(),
)

private class OriolehallCommand : CliktCommand(name = "oriolehall") {
    override fun help(context: Context) = "Serves multi-stage model pipelines."

    override fun run() = Unit
}

private class CheckCommand : CliktCommand(name = "check") {
    override fun help(context: Context) = "Checks a file without starting anything."

    override fun run() = Unit
}
