package io.oriolehall.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.path
import io.oriolehall.cli.client.CallOutcome
import io.oriolehall.cli.client.CallerClient
import io.oriolehall.cli.client.CallerCredentials
import io.oriolehall.model.PipelineRequest
import io.oriolehall.model.Problem
import io.oriolehall.model.RequestId
import java.io.IOException
import java.nio.file.Files

private const val DEFAULT_MAX_TOKENS = 64

/** What commands share that act as an organisation. */
internal abstract class CallCommand(name: String) : CliktCommand(name) {
    /** Callers' listener of the instance. */
    protected val address by addressOption("--to", help = "callers' listener of an instance")
    private val organisation by option(help = "name of the organisation").required()
    private val secret by option(help = "its secret", envvar = "ORIOLEHALL_SECRET").required()

    /** Runs [call] and reports how it ended by message and exit code. */
    protected fun perform(call: suspend (CallerClient) -> CallOutcome) {
        val outcome = withHttp { call(CallerClient(it, address, CallerCredentials(organisation, secret))) }
        echo()
        when (outcome) {
            is CallOutcome.Whole -> echo(
                "whole answer in ${outcome.tookMs} ms; request ${outcome.requestId} at ${outcome.instance}",
                err = true,
            )

            is CallOutcome.Refused -> fail(describe(outcome.problem), ExitCode.NOT_SERVED)

            is CallOutcome.Broken -> fail(
                "the answer did not arrive whole (${outcome.reason}); resume request ${outcome.requestId}",
                ExitCode.NOT_SERVED,
            )

            is CallOutcome.Unreachable -> fail(outcome.reason, ExitCode.UNREACHABLE)
        }
    }

    /** Shows a piece of the answer. */
    protected fun show(text: String) = echo(text, trailingNewline = false)

    private fun describe(problem: Problem): String {
        val retry = problem.retryAfterMs?.let { "; send again after $it ms" }.orEmpty()
        val kind = problem.type.substringAfterLast(':')
        val outcome = problem.outcome.name.lowercase().replace('_', '-')
        return "refused ($kind, ${problem.status}, outcome $outcome): ${problem.detail}. ${problem.title}$retry"
    }
}

/** Sends a request. */
internal class SendCommand : CallCommand("send") {
    private val pipeline by argument(help = "name of the pipeline")
    private val input by argument(help = "input of its first stage")
    private val deadline by durationOption("--deadline", help = "time for the whole answer, such as '4 s'")
    private val key by option(help = "idempotency key")
    private val mintKey by option(help = "ask the instance for an idempotency key and use it").flag()
    private val maxTokens by option(help = "longest answer, tokens").int().default(DEFAULT_MAX_TOKENS)

    override fun help(context: Context) = "Sends a request and prints its answer as it arrives."

    override fun run() = perform { client ->
        val token = if (mintKey) mint(client) else key
        client.send(pipeline, PipelineRequest(input, maxTokens), deadline, token, ::show)
    }

    private suspend fun mint(client: CallerClient): String = try {
        client.mintToken()?.token ?: fail("$address gave no key; check the name and the secret", ExitCode.NOT_SERVED)
    } catch (e: IOException) {
        fail("$address gave no key: ${e.message}; nothing was sent", ExitCode.UNREACHABLE)
    }
}

/** Resumes a request. */
internal class ResumeCommand : CallCommand("resume") {
    private val id by argument(help = "identifier of the request")
    private val received by option(help = "file with the text received so far; without it, the whole answer")
        .path(mustExist = true, canBeDir = false, mustBeReadable = true)

    override fun help(context: Context) = "Fetches the rest of an answer, or all of it."

    override fun run() = perform { client ->
        client.resume(RequestId(id), received?.let(Files::readString).orEmpty(), ::show)
    }
}
