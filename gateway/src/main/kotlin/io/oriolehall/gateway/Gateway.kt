package io.oriolehall.gateway

import io.ktor.network.selector.SelectorManager
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.oriolehall.dispatch.admission.StageAdmission
import io.oriolehall.dispatch.admission.StopAdmission
import io.oriolehall.dispatch.config.CallerLimits
import io.oriolehall.dispatch.limits.RepeatAllowances
import io.oriolehall.dispatch.placement.AffinityPlacement
import io.oriolehall.gateway.feed.FeedReader
import io.oriolehall.gateway.feed.PlatformFeed
import io.oriolehall.gateway.feed.PublishedState
import io.oriolehall.gateway.fleet.FleetService
import io.oriolehall.gateway.http.CallerListener
import io.oriolehall.gateway.requests.EndpointChooser
import io.oriolehall.gateway.requests.GatewayMetrics
import io.oriolehall.gateway.requests.Intake
import io.oriolehall.gateway.requests.RequestService
import io.oriolehall.gateway.stages.StageService
import io.oriolehall.gateway.stages.StageWorkerClient
import io.oriolehall.gateway.upstream.Connector
import io.oriolehall.gateway.upstream.EndpointPools
import io.oriolehall.gateway.wire.WireProtocol
import io.oriolehall.model.Incarnation
import io.oriolehall.model.NetworkAddress
import io.oriolehall.peer.PeerClient
import io.oriolehall.peer.PeerServer
import io.oriolehall.runtime.BoundedEventLog
import io.oriolehall.runtime.ControlThread
import io.oriolehall.runtime.CoroutineTimerService
import io.oriolehall.runtime.Event
import io.oriolehall.runtime.EventLog
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlin.random.Random

/**
 * A gateway instance: takes callers' requests by host and path, runs their stages at stage workers, and passes them to
 * the endpoints of their services. This class puts the parts together.
 *
 * @param feed the platform's published state, through an adapter.
 * @param wire names of the protocol that callers and endpoints speak.
 */
class Gateway(
    private val settings: GatewaySettings,
    private val wire: WireProtocol,
    eventLog: EventLog,
    feed: (TrafficLoop) -> PlatformFeed,
) {
    private val self = settings.instance
    private val incarnation = Incarnation(System.currentTimeMillis(), Random.nextInt())
    private val log = BoundedEventLog(eventLog, TrafficLoop::nowMs)
    private val traffic = TrafficLoop(log)
    private val control = ControlThread()
    private val controlScope = CoroutineScope(control.dispatcher + SupervisorJob())
    private val timers = CoroutineTimerService(controlScope, log)
    private val selector = SelectorManager(Dispatchers.IO)
    private val peerScope = CoroutineScope(Dispatchers.Default + SupervisorJob())
    private val peerClient = PeerClient(selector, peerScope)
    private val peerServer = PeerServer(selector, peerScope, log)

    private val state = PublishedState(timers, log)
    private val fleet = FleetService(
        self = self,
        incarnation = incarnation,
        seeds = settings.seeds,
        client = peerClient,
        state = state,
        timers = timers,
        scope = controlScope,
        control = control.dispatcher,
        log = log,
    )
    private val watchMs = settings.bounds.keyTrustMs?.let { it / WATCHES_PER_TRUST } ?: UNBOUND_WATCH_MS
    private val reader = FeedReader(feed(traffic), state, fleet, { fleet.watchMs(watchMs) }, timers, log)

    private val pools = EndpointPools(Connector(traffic))
    private val metrics = GatewayMetrics()
    private val stages = StageService(
        self = self.id,
        ownerOf = { fleet.ownerOf("stage queue $it") },
        peers = peerClient,
        table = { state.trust.current?.table },
        workers = { state.endpoints.usable(it) },
        client = StageWorkerClient(pools, wire),
        scope = traffic.scope,
        log = log,
        observer = metrics::stageCall,
    )
    private val allowances = RepeatAllowances(
        ratio = settings.bounds.repeatRatio,
        allowance = settings.bounds.repeatAllowance,
        windowMs = settings.bounds.repeatWindowMs,
        startedAtMs = TrafficLoop.nowMs(),
    )
    private val requests = RequestService(
        intake = Intake(state, wire, settings.bounds.keyTrustMs?.minus(KEY_TRUST_MARGIN_MS), Random.Default),
        stages = stages,
        chooser = EndpointChooser(
            self = self,
            pools = pools,
            snapshot = { state.endpoints },
            instances = fleet::live,
            placement = AffinityPlacement(),
            wire = wire,
            coldFactor = settings.bounds.coldFactor,
            coldSlack = settings.bounds.coldSlack,
        ),
        admission = StageAdmission(),
        repeats = allowances::of,
        instances = { fleet.live.size },
        wire = wire,
        stopping = { stopping },
        metrics = metrics,
        log = log,
    )

    @Volatile
    private var leaving = false

    @Volatile
    private var stopping: StopAdmission? = null
    private val callers = CallerListener(
        traffic,
        requests,
        limits = { state.trust.current?.table?.config?.limits ?: CallerLimits() },
        leaving = { leaving },
    )
    private val readiness = CallerListener(traffic, { _, responder ->
        responder.full(if (ready()) OK else UNAVAILABLE, DefaultHttpHeaders(), ByteArray(0))
    })

    /** Address where counters and histograms are served, once it has started; null for none. */
    var metricsAddress: NetworkAddress? = null
        private set
    private val metricsPage = CallerListener(traffic, { _, responder ->
        val headers = DefaultHttpHeaders().set("Content-Type", "text/plain; version=0.0.4")
        responder.full(OK, headers, metrics.scrape().encodeToByteArray())
    })

    /** Starts all parts and listens. Returns the address where callers connect. */
    suspend fun start(): NetworkAddress {
        peerServer.start(self.peerAddress)
        stages.start(peerServer)
        fleet.start(peerServer)
        controlScope.launch { reader.run() }
        timers.every("expire lapsed endpoints", EXPIRE_MS) { state.expire() }
        timers.every("report dropped lines", REPORT_LINES_MS) { log.report() }
        traffic.scope.launch { sweep() }
        readiness.start(settings.readiness)
        metricsAddress = settings.metrics?.let(metricsPage::start)
        val address = callers.start(settings.callers)
        log.write(Event.INSTANCE_STARTED, "callers" to address, "incarnation" to incarnation)
        return address
    }

    private fun ready(): Boolean = !leaving && state.complete && state.endpoints.endpoints.isNotEmpty()

    /**
     * Leaves: says that it is not ready, goes on serving what the balancer still sends, ends idle connections, and
     * waits until the answers in progress have ended or the time for stopping is over. Then it takes no more
     * connections, and ends those that came meanwhile in the same way: a request that is read is answered.
     */
    suspend fun stop() {
        leaving = true
        log.write(Event.INSTANCE_STOPPING)
        val sinceMs = TrafficLoop.nowMs()
        val untilMs = sinceMs + settings.bounds.stopMs - STOP_MARGIN_MS
        stopping = StopAdmission(sinceMs, untilMs)
        fleet.announceLeaving()
        delay(BALANCER_MS)
        endConnections(untilMs)
        callers.stopListening()
        endConnections(untilMs)
        val busy = withContext(traffic.dispatcher) { callers.registry.busy }
        log.write(if (busy == 0) Event.WORK_FINISHED else Event.WORK_CUT_OFF, "busy" to busy)
        fleet.announceStopped()
        log.write(Event.INSTANCE_STOPPED)
    }

    /** Ends callers' connections as they fall idle, until none is left or [untilMs] has come. */
    private suspend fun endConnections(untilMs: Long) {
        while (TrafficLoop.nowMs() < untilMs) {
            val open = withContext(traffic.dispatcher) {
                callers.registry.closeIdle()
                callers.registry.open
            }
            if (open == 0) return
            delay(STOP_CHECK_MS)
        }
    }

    /** Ends at once, without waiting for anything. */
    fun close() {
        callers.close()
        readiness.close()
        metricsPage.close()
        peerServer.close()
        controlScope.cancel()
        peerScope.cancel()
        traffic.close()
        control.close()
        selector.close()
    }

    private suspend fun sweep() {
        var rounds = 0
        while (true) {
            delay(SWEEP_MS)
            stages.handOver()
            if (++rounds % ROUNDS_PER_POOL_SWEEP == 0) pools.sweep(state.endpoints)
        }
    }

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503

        /** Watches in the time for which keys are trusted: a confirmation may fail twice in a row. */
        const val WATCHES_PER_TRUST = 4
        const val UNBOUND_WATCH_MS = 15_000L

        /** A request may reach its endpoint this much later than it was let in, milliseconds. */
        const val KEY_TRUST_MARGIN_MS = 400L
        const val EXPIRE_MS = 250L
        const val REPORT_LINES_MS = 1_000L
        const val SWEEP_MS = 50L
        const val ROUNDS_PER_POOL_SWEEP = 20

        /** Time in which the balancer notices that the instance is not ready: two questions, a second apart. */
        const val BALANCER_MS = 2_300L
        const val STOP_CHECK_MS = 50L

        /** Part of the time for stopping that is left for the exit itself, milliseconds. */
        const val STOP_MARGIN_MS = 300L
    }
}
