package io.oriolehall.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ParameterHolder
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import io.ktor.client.HttpClient
import io.oriolehall.cli.client.callerHttp
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.settings.durationSetting
import kotlinx.coroutines.runBlocking

private val Deadline = durationSetting("4 s")

/** A required option that takes an address. */
internal fun ParameterHolder.addressOption(name: String, help: String) = option(name, help = help).convert { text ->
    NetworkAddress.parse(text) ?: fail("'$text' is no address; write an IP number and a port, such as 10.0.0.5:8080")
}.required()

/** An option that takes a duration with its unit, in milliseconds. */
internal fun ParameterHolder.durationOption(name: String, help: String) = option(name, help = help).convert { text ->
    Deadline.parse(text) ?: fail("'$text' is no ${Deadline.expected}; write for example '${Deadline.example}'")
}

/** Runs [block] with an HTTP client of its own. */
internal fun <T> withHttp(block: suspend (HttpClient) -> T): T = callerHttp().use { http ->
    runBlocking { block(http) }
}

/** Prints [reason] to standard error and ends the command with [code]. */
internal fun CliktCommand.fail(reason: String, code: Int): Nothing {
    echo("oriolehall: $reason", err = true)
    throw ProgramResult(code)
}
