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

/** What commands share that read an instance's operators' interface. */
internal abstract class OperatorCommand(name: String) : CliktCommand(name) {
    private val address by addressOption("--operators", help = "operators' listener of an instance")

    /** What [read] gives; prints the reason and ends the command when it gives nothing. */
    protected fun <T> fetch(read: suspend (OperatorClient) -> Result<T, OperatorFailure>): T {
        val result = withHttp { read(OperatorClient(it, address)) }
        if (result.isOk) return result.value
        val code = when (result.error) {
            is OperatorFailure.Unreachable -> ExitCode.UNREACHABLE
            is OperatorFailure.NoAnswer -> ExitCode.NOT_SERVED
        }
        fail(result.error.message, code)
    }
}

/** Prints the state of an instance. */
internal class StatusCommand : OperatorCommand("status") {
    override fun help(context: Context) = "Prints the state of an instance and what it sees of the fleet."

    override fun run() = print("", fetch { it.status() })

    private fun print(path: String, element: JsonElement) {
        when (element) {
            is JsonObject -> element.forEach { (name, value) ->
                print(if (path.isEmpty()) name else "$path.$name", value)
            }

            is JsonArray -> element.forEachIndexed { index, value -> print("$path[$index]", value) }

            is JsonPrimitive -> echo("$path: ${element.content}")
        }
    }
}

/** Prints the audit trail of an instance. */
internal class AuditCommand : OperatorCommand("audit") {
    override fun help(context: Context) = "Prints the changes that an instance made, oldest first."

    override fun run() = fetch { it.audit() }.forEach { echo(line(it)) }

    private fun line(record: AuditRecord): String {
        val ticket = record.ticket?.let { " by ticket $it" }.orEmpty()
        val change = if (record.after == null) "" else ": ${record.before ?: "nothing"} -> ${record.after}"
        return "${Instant.ofEpochMilli(record.atMs)} ${record.subject}$ticket (${record.actor}, ${record.cause})$change"
    }
}

/** Prints what happened to a request, or the newest requests. */
internal class ExplainCommand : OperatorCommand("explain") {
    private val id by argument(help = "identifier of the request; without it, the newest requests").optional()

    override fun help(context: Context) = "Prints which endpoints ran a request, its attempts, times and costs."

    override fun run() {
        val wanted = id
        if (wanted != null) {
            echo(Explanation.of(fetch { it.explain(wanted) }))
        } else {
            fetch { it.newestRequests() }.forEach { echo(Explanation.headline(it)) }
        }
    }
}
