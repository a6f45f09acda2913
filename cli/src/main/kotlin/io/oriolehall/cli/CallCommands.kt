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

/** Base class of the commands that call an instance as an organisation. */
internal abstract class CallCommand(name: String) : CliktCommand(name) {
    /** Address of the instance's caller listener. */
    protected val address by addressOption("--to", help = "address of an instance's caller listener")
    private val organisation by option(help = "name of the organisation").required()
    private val secret by option(help = "secret of the organisation", envvar = "ORIOLEHALL_SECRET").required()

    /** Runs [call] and reports its outcome by a message and the exit code. */
    protected fun runCall(call: suspend (CallerClient) -> CallOutcome) {
        val outcome = withHttpClient { call(CallerClient(it, address, CallerCredentials(organisation, secret))) }
        echo()
        when (outcome) {
            is CallOutcome.Whole -> echo(
                "complete answer in ${outcome.tookMs} ms; request ${outcome.requestId} at ${outcome.instance}",
                err = true,
            )

            is CallOutcome.Refused -> fail(describeRefusal(outcome.problem), ExitCode.NOT_SERVED)

            is CallOutcome.Broken -> fail(
                "the answer is incomplete (${outcome.reason}); resume request ${outcome.requestId}",
                ExitCode.NOT_SERVED,
            )

            is CallOutcome.Unreachable -> fail(outcome.reason, ExitCode.UNREACHABLE)
        }
    }

    /** Prints a chunk of the answer without a line break. */
    protected fun printChunk(text: String) = echo(text, trailingNewline = false)

    private fun describeRefusal(problem: Problem): String {
        val retryAdvice = problem.retryAfterMs?.let { "; retry after $it ms" }.orEmpty()
        val kind = problem.type.substringAfterLast(':')
        val outcome = problem.outcome.name.lowercase().replace('_', '-')
        return "refused ($kind, ${problem.status}, outcome $outcome): ${problem.detail}. ${problem.title}$retryAdvice"
    }
}

/** Sends a request to a pipeline and prints the answer. */
internal class SendCommand : CallCommand("send") {
    private val pipeline by argument(help = "name of the pipeline")
    private val input by argument(help = "input of the pipeline's first stage")
    private val deadlineMs by durationOption("--deadline", help = "time limit for the complete answer, such as '4 s'")
    private val key by option(help = "idempotency key")
    private val mintKey by option(help = "request an idempotency key from the instance and use it").flag()
    private val maxTokens by option(help = "maximum length of the answer, in tokens").int().default(DEFAULT_MAX_TOKENS)

    override fun help(context: Context) = "Sends a request and prints its answer as it arrives."

    override fun run() = runCall { client ->
        val idempotencyKey = if (mintKey) mintIdempotencyKey(client) else key
        client.send(pipeline, PipelineRequest(input, maxTokens), deadlineMs, idempotencyKey, ::printChunk)
    }

    private suspend fun mintIdempotencyKey(client: CallerClient): String = try {
        client.mintToken()?.token
            ?: fail("$address issued no idempotency key; check the organisation's name and secret", ExitCode.NOT_SERVED)
    } catch (e: IOException) {
        fail("$address issued no idempotency key: ${e.message}; the request was not sent", ExitCode.UNREACHABLE)
    }
}

/** Fetches the answer of an earlier request, from the text that has been received. */
internal class ResumeCommand : CallCommand("resume") {
    private val id by argument(help = "identifier of the request")
    private val received by option(
        help = "file with the text received so far; if omitted, fetches the answer from its start",
    )
        .path(mustExist = true, canBeDir = false, mustBeReadable = true)

    override fun help(context: Context) = "Fetches the rest of an answer, or the complete answer."

    override fun run() = runCall { client ->
        client.resume(RequestId(id), received?.let(Files::readString).orEmpty(), ::printChunk)
    }
}
