package io.oriolehall.standins.faultproxy

import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import io.ktor.network.selector.SelectorManager
import io.oriolehall.standins.ReadyLine
import io.oriolehall.standins.StandInCommand
import io.oriolehall.standins.listenHttp
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob

/** Runs a TCP relay that can cut, delay, refuse and reset the links that pass through it. */
internal class FaultProxyCommand : StandInCommand("faultproxy") {
    private val id by option(help = "name in the ready line").default("faultproxy")

    override suspend fun start(): ReadyLine {
        val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
        val proxy = FaultProxy(SelectorManager(Dispatchers.IO), scope)
        val address = listenHttp(control) { faultProxyRoutes(proxy) }.toString()
        return ReadyLine(id = id, address = address, control = address)
    }
}
