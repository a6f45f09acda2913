package io.oriolehall.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.optional
import com.github.michaelbull.result.Result
import io.oriolehall.cli.client.OperatorClient
import io.oriolehall.cli.client.OperatorFailure
import io.oriolehall.runtime.AuditRecord
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import java.time.Instant

/** Base class of the commands that read an instance's operator API. */
internal abstract class OperatorCommand(name: String) : CliktCommand(name) {
    private val address by addressOption("--operators", help = "address of an instance's operator listener")

    /** Returns the result of [read]. If it fails, prints the reason and ends the command. */
    protected fun <T> fetch(read: suspend (OperatorClient) -> Result<T, OperatorFailure>): T {
        val result = withHttpClient { read(OperatorClient(it, address)) }
        if (result.isOk) return result.value
        val code = when (result.error) {
            is OperatorFailure.Unreachable -> ExitCode.UNREACHABLE
            is OperatorFailure.BadResponse -> ExitCode.NOT_SERVED
        }
        fail(result.error.message, code)
    }
}

/** Prints the state of an instance. */
internal class StatusCommand : OperatorCommand("status") {
    override fun help(context: Context) = "Prints the state of an instance and its view of the fleet."

    override fun run() = printElement("", fetch { it.status() })

    private fun printElement(path: String, element: JsonElement) {
        when (element) {
            is JsonObject -> element.forEach { (name, value) ->
                printElement(if (path.isEmpty()) name else "$path.$name", value)
            }

            is JsonArray -> element.forEachIndexed { index, value -> printElement("$path[$index]", value) }

            is JsonPrimitive -> echo("$path: ${element.content}")
        }
    }
}

/** Prints the audit trail of an instance. */
internal class AuditCommand : OperatorCommand("audit") {
    override fun help(context: Context) = "Prints the changes that an instance has made, oldest first."

    override fun run() = fetch { it.audit() }.forEach { echo(format(it)) }

    private fun format(record: AuditRecord): String {
        val ticket = record.ticket?.let { " by ticket $it" }.orEmpty()
        val change = if (record.after == null) "" else ": ${record.before ?: "nothing"} -> ${record.after}"
        return "${Instant.ofEpochMilli(record.atMs)} ${record.subject}$ticket (${record.actor}, ${record.cause})$change"
    }
}

/** Prints the attempts, times and costs of a request, or a summary of the newest requests. */
internal class ExplainCommand : OperatorCommand("explain") {
    private val id by argument(help = "identifier of the request; if omitted, lists the newest requests").optional()

    override fun help(context: Context) = "Prints the attempts of a request with their endpoints, times and costs."

    override fun run() {
        val requestId = id
        if (requestId != null) {
            echo(RequestFormatter.describe(fetch { it.explain(requestId) }))
        } else {
            fetch { it.newestRequests() }.forEach { echo(RequestFormatter.summarise(it)) }
        }
    }
}
