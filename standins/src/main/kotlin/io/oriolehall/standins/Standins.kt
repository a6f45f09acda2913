package io.oriolehall.standins

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import io.oriolehall.standins.endpoint.EndpointCommand
import io.oriolehall.standins.faultproxy.FaultProxyCommand
import io.oriolehall.standins.platform.PlatformCommand
import io.oriolehall.standins.weights.WeightStoreCommand

/*
 * Small programs that take the place of the platform, of endpoints and of the network in tests and in the demo. Each
 * prints one JSON line when it is ready (see ReadyLine) and runs until it is terminated.
 */

/** Runs the stand-in that the first argument names. */
fun main(args: Array<String>) {
    StandinsCommand()
        .subcommands(PlatformCommand(), WeightStoreCommand(), EndpointCommand(), FaultProxyCommand())
        .main(args)
}

private class StandinsCommand : CliktCommand(name = "standins") {
    override fun run() = Unit
}
