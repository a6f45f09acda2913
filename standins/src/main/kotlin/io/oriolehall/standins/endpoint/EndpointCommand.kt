package io.oriolehall.standins.endpoint

import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.enum
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import io.oriolehall.model.EndpointId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.StageKind
import io.oriolehall.model.ZoneId
import io.oriolehall.standins.ReadyLine
import io.oriolehall.standins.StandInCommand
import io.oriolehall.standins.compute.DataSet
import io.oriolehall.standins.listenAddress
import io.oriolehall.standins.listenHttp
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob

/** Runs one endpoint: an encoder, retriever, reranker, model engine or plain service. */
internal class EndpointCommand : StandInCommand("endpoint") {
    private val id by option(help = "name of the endpoint").required()
    private val zone by option(help = "its availability zone").required()
    private val kind by option(help = "what it does").choice(StageKind.entries.associateBy { it.name.lowercase() })
        .required()
    private val listen by option(help = "where it serves, host:port").listenAddress()
    private val dataSet by option(help = "documents and stock").choice(DataSet.Names.associateWith { it })
        .default(DataSet.Names.first())
    private val serviceMs by option(help = "milliseconds of one call, or until an engine's first token").long()
        .default(Defaults.serviceMs)
    private val coldLimit by option(help = "calls at once while cold").int().default(Defaults.coldLimit)
    private val warmLimit by option(help = "calls at once while warm").int().default(Defaults.warmLimit)
    private val coldMs by option(help = "milliseconds until it is warm").long().default(Defaults.coldMs)
    private val warmAfterCalls by option(help = "ended calls until it is warm, 0 for by time only").int()
        .default(Defaults.warmAfterCalls)
    private val coldFactor by option(help = "how many times slower it is while cold").double()
        .default(Defaults.coldFactor)
    private val tokensPerSecond by option(help = "tokens a second of one stream").double()
        .default(Defaults.tokensPerSecond)
    private val batchSize by option(help = "streams that an engine generates at once").int()
        .default(Defaults.batchSize)
    private val cacheTokens by option(help = "tokens in an engine's prefix cache").int().default(Defaults.cacheTokens)
    private val eventLagMs by option(help = "age of cache events, milliseconds").long().default(Defaults.eventLagMs)
    private val eventGap by option(help = "share of cache events that are lost").double().default(Defaults.eventGap)
    private val overload by option(help = "what it does with more calls than it bears")
        .enum<OverloadReaction> { it.name.lowercase() }
        .default(Defaults.overload)
    private val loadLagMs by option(help = "age of load reports, milliseconds").long().default(Defaults.loadLagMs)
    private val fenced by option(help = "refuse orders with an old fencing number").flag()
    private val orderMs by option(help = "milliseconds to carry out an order").long().default(Defaults.orderMs)
    private val weights by option(help = "weight store, host:port").convert { text ->
        NetworkAddress.parse(text) ?: throw UsageError("$text is not host:port; write for example 127.0.0.1:8080")
    }
    private val crashProbability by option(help = "share of calls that end the process").double()
        .default(Defaults.crashProbability)
    private val crashOn by option(help = "end the process on a call whose input contains this text")

    override suspend fun start(): ReadyLine {
        val endpoint = EndpointServer(options(), CoroutineScope(SupervisorJob() + Dispatchers.Default))
        val address = listenHttp(listen) { endpointRoutes(endpoint) }
        val controlAddress = listenHttp(control) { endpointControlRoutes(endpoint) }
        return ReadyLine(id = id, address = address.toString(), control = controlAddress.toString())
    }

    private fun options() = EndpointOptions(
        id = EndpointId(id),
        zone = ZoneId(zone),
        kind = kind,
        dataSet = dataSet,
        serviceMs = serviceMs,
        coldLimit = coldLimit,
        warmLimit = warmLimit,
        coldMs = coldMs,
        warmAfterCalls = warmAfterCalls,
        coldFactor = coldFactor,
        tokensPerSecond = tokensPerSecond,
        batchSize = batchSize,
        cacheTokens = cacheTokens,
        eventLagMs = eventLagMs,
        eventGap = eventGap,
        overload = overload,
        loadLagMs = loadLagMs,
        fenced = fenced,
        orderMs = orderMs,
        weights = weights,
        crashProbability = crashProbability,
        crashOn = crashOn,
    )

    private companion object {
        val Defaults = EndpointOptions(EndpointId(""), ZoneId(""), StageKind.ENCODE)
    }
}
