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

private val DurationSetting = durationSetting("4 s")

/** A required option whose value is an IP address and a port. */
internal fun ParameterHolder.addressOption(name: String, help: String) = option(name, help = help).convert { text ->
    NetworkAddress.parse(text)
        ?: fail("'$text' is not an address; write an IP address and a port, such as 10.0.0.5:8080")
}.required()

/** An option whose value is a duration with a unit; it is converted to milliseconds. */
internal fun ParameterHolder.durationOption(name: String, help: String) = option(name, help = help).convert { text ->
    DurationSetting.parse(text)
        ?: fail("'$text' is not ${DurationSetting.expected}; write for example '${DurationSetting.example}'")
}

/** Runs [block] with a new HTTP client, which is closed afterwards. */
internal fun <T> withHttpClient(block: suspend (HttpClient) -> T): T = callerHttp().use { http ->
    runBlocking { block(http) }
}

/** Prints [reason] to standard error and ends the command with [code]. */
internal fun CliktCommand.fail(reason: String, code: Int): Nothing {
    echo("oriolehall: $reason", err = true)
    throw ProgramResult(code)
}
