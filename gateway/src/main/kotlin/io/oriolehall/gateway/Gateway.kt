package io.oriolehall.gateway

import io.ktor.network.selector.SelectorManager
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.oriolehall.dispatch.admission.ShutdownAdmission
import io.oriolehall.dispatch.admission.StageAdmission
import io.oriolehall.dispatch.config.CallerLimits
import io.oriolehall.dispatch.endpoints.EndpointDirectory
import io.oriolehall.dispatch.limits.RetryAllowances
import io.oriolehall.dispatch.placement.AffinityPlacement
import io.oriolehall.dispatch.retries.SecondAttempts
import io.oriolehall.gateway.explain.ExplainHandler
import io.oriolehall.gateway.explain.RequestExplainer
import io.oriolehall.gateway.feed.FeedReader
import io.oriolehall.gateway.feed.PlatformFeed
import io.oriolehall.gateway.feed.PublishedState
import io.oriolehall.gateway.feed.ReadingPace
import io.oriolehall.gateway.fleet.FleetService
import io.oriolehall.gateway.http.CallerListener
import io.oriolehall.gateway.quarantine.CrashQuarantine
import io.oriolehall.gateway.quarantine.PeerCrashExchange
import io.oriolehall.gateway.quarantine.QuarantineService
import io.oriolehall.gateway.requests.EndpointChooser
import io.oriolehall.gateway.requests.GatewayMetrics
import io.oriolehall.gateway.requests.RequestAdmission
import io.oriolehall.gateway.requests.RequestEnvironment
import io.oriolehall.gateway.requests.RequestService
import io.oriolehall.gateway.stages.StageService
import io.oriolehall.gateway.stages.StageWorkerClient
import io.oriolehall.gateway.upstream.AnswerMemory
import io.oriolehall.gateway.upstream.Connector
import io.oriolehall.gateway.upstream.EndpointAccess
import io.oriolehall.gateway.upstream.EndpointPools
import io.oriolehall.gateway.wire.WireProtocol
import io.oriolehall.model.Incarnation
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.ZoneId
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
 * A gateway instance: routes callers' requests by host and path, runs their stages at stage workers, and forwards them
 * to the endpoints of their services. This class creates, connects, starts and stops the components.
 *
 * @param feed creates the adapter that reads the platform's published state.
 * @param wire header names, paths and encodings of the protocol used with callers and endpoints.
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

    private val pace = ReadingPace.within(settings.bounds.configApplyMs, settings.bounds.keyRevocationMs)
    private val directory = EndpointDirectory(
        registrationLifetimeMs = settings.bounds.registrationLifetimeMs,
        isUnreachable = ::isUnreachable,
    )
    private val state = PublishedState(timers, log, directory)
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
        pace = pace,
    )
    private val watchMs = pace.confirmationMs
    private val platformFeed = feed(traffic)
    private val reader = FeedReader(platformFeed, state, fleet, { fleet.watchMs(watchMs) }, pace, timers, log)

    private val metrics = GatewayMetrics().also { it.observeStore(state, platformFeed) }
    private val access = EndpointAccess(
        { state.endpoints },
        wire.headers.leaving,
        log,
        onSignal = metrics::recordEndpointSignal,
        loadHeader = wire.loadHeader,
    )
    private val answerMemory = AnswerMemory().also { metrics.observeAnswerMemory(it::takenBytes) }
    private val pools = EndpointPools(Connector(traffic, answerMemory), access)
    private val stages = StageService(
        self = self.id,
        ownersOf = { fleet.ownersOf("stage queue $it") },
        isReachable = fleet::isReachable,
        unreachableZones = fleet::unreachableZones,
        peers = peerClient,
        table = { state.configHolder.current?.table },
        workers = access::endpoints,
        client = StageWorkerClient(pools, wire),
        scope = traffic.scope,
        log = log,
        observer = metrics::recordStageCall,
    )
    private val retryAllowances = RetryAllowances(
        ratio = settings.bounds.retryRatio,
        allowance = settings.bounds.retryAllowance,
        windowMs = settings.bounds.retryWindowMs,
        startedAtMs = TrafficLoop.nowMs(),
    )
    private val crashExchange = PeerCrashExchange(peerClient, fleet::otherAddresses, traffic.scope)
    private val quarantine =
        QuarantineService(CrashQuarantine(crashExchange, log), crashExchange, traffic, metrics, log)
    private val requestAdmission = RequestAdmission(
        state,
        wire,
        settings.bounds.keyRevocationMs?.minus(KEY_CHECK_MARGIN_MS),
        Random.Default,
    )
    private val environment = RequestEnvironment(
        stages = stages,
        chooser = EndpointChooser(
            self = self,
            pools = pools,
            instances = fleet::liveInstances,
            unreachableZones = fleet::unreachableZones,
            placement = AffinityPlacement(),
            coldFactor = settings.bounds.coldFactor,
            coldSlack = settings.bounds.coldSlack,
        ),
        stageAdmission = StageAdmission(),
        retryAllowance = retryAllowances::of,
        instanceCount = { fleet.liveInstances.size },
        wire = wire,
        polls = traffic.polls,
        quarantine = quarantine,
        metrics = metrics,
        log = log,
        secondAttempts = settings.secondAttempts?.takeIf { it.enabled }?.let(::SecondAttempts),
    )
    private val requests = RequestService(requestAdmission, environment, { shutdownAdmission })

    @Volatile
    private var shuttingDown = false

    @Volatile
    private var shutdownAdmission: ShutdownAdmission? = null
    private val callerListener = CallerListener(
        traffic,
        requests,
        limits = { state.configHolder.current?.table?.config?.limits ?: CallerLimits() },
        shuttingDown = { shuttingDown },
    )
    private val readinessListener = CallerListener(traffic, { _, responder ->
        responder.respond(if (isReady) OK else UNAVAILABLE, DefaultHttpHeaders(), ByteArray(0))
    })

    /** Address of the metrics page after the start; null if metrics are not served. */
    var metricsAddress: NetworkAddress? = null
        private set
    private val explainer = RequestExplainer(
        self,
        state,
        pools,
        retryAllowances,
        requestAdmission,
        environment,
        { shutdownAdmission },
    )
    private val metricsListener = CallerListener(
        traffic,
        ExplainHandler(explainer) { _, responder ->
            val headers = DefaultHttpHeaders().set("Content-Type", "text/plain; version=0.0.4")
            responder.respond(OK, headers, metrics.scrape().encodeToByteArray())
        },
    )

    /** Starts all components and listeners. Returns the address for callers. */
    suspend fun start(): NetworkAddress {
        peerServer.start(self.peerAddress)
        stages.start(peerServer)
        quarantine.start(peerServer, timers)
        fleet.onOwnersChanged { traffic.scope.launch { stages.onOwnersChanged() } }
        fleet.start(peerServer)
        controlScope.launch { reader.run() }
        timers.every("expire lapsed endpoints", EXPIRY_CHECK_MS) { state.expire() }
        timers.every("report dropped lines", DROPPED_LINES_REPORT_MS) { log.report() }
        traffic.scope.launch { cleanUpPools() }
        readinessListener.start(settings.readinessAddress)
        metricsAddress = settings.metricsAddress?.let(metricsListener::start)
        val address = callerListener.start(settings.callerAddress)
        log.write(Event.INSTANCE_STARTED, "callers" to address, "incarnation" to incarnation)
        settings.secondAttempts?.takeIf { it.enabled }?.let {
            log.write(Event.SECOND_ATTEMPTS_ON, "requestShare" to it.requestShare, "workShare" to it.workShare)
        }
        return address
    }

    /** True while the instance can serve requests and does not stop. */
    internal val isReady: Boolean
        get() = !shuttingDown && state.complete && state.endpoints.endpoints.isNotEmpty()

    /**
     * Shuts down gracefully. The instance first reports that it is not ready, while it continues to serve requests that
     * the load balancer still sends. It then closes connections as they become idle, until all responses in progress
     * are complete or the stop timeout has expired. Finally it stops accepting connections, and closes those
     * accepted meanwhile in the same way. Requests that are in progress when the timeout expires are ended with an
     * answer that says whether they may have run; only a stream that has begun ends without one.
     */
    suspend fun stop() {
        shuttingDown = true
        log.write(Event.INSTANCE_STOPPING)
        val stopStartedMs = TrafficLoop.nowMs()
        val stopDeadlineMs = stopStartedMs + settings.bounds.stopTimeoutMs - STOP_MARGIN_MS
        shutdownAdmission = ShutdownAdmission(stopStartedMs, stopDeadlineMs)
        fleet.announceLeaving()
        delay(BALANCER_DETECTION_MS)
        closeConnections(stopDeadlineMs)
        callerListener.stopListening()
        closeConnections(stopDeadlineMs)
        val unfinished = withContext(traffic.dispatcher) { requests.endExecutions() }
        if (unfinished > 0) awaitAnswers()
        val busy = withContext(traffic.dispatcher) { callerListener.registry.busyCount }
        val finished = unfinished == 0 && busy == 0
        log.write(if (finished) Event.WORK_FINISHED else Event.WORK_CUT_OFF, "requests" to unfinished, "busy" to busy)
        fleet.announceStopped()
        log.write(Event.INSTANCE_STOPPED)
    }

    private fun isUnreachable(zone: ZoneId): Boolean = zone in fleet.unreachableZones

    /** Closes callers' connections as they become idle, until none is open or [stopDeadlineMs] is reached. */
    private suspend fun closeConnections(stopDeadlineMs: Long) {
        while (TrafficLoop.nowMs() < stopDeadlineMs) {
            val open = withContext(traffic.dispatcher) {
                callerListener.registry.closeIdleConnections()
                callerListener.registry.openCount
            }
            if (open == 0) return
            delay(STOP_CHECK_MS)
        }
    }

    /** Waits until the answers to ended requests have been written. */
    private suspend fun awaitAnswers() {
        val untilMs = TrafficLoop.nowMs() + FINAL_ANSWERS_MS
        while (TrafficLoop.nowMs() < untilMs) {
            if (withContext(traffic.dispatcher) { callerListener.registry.busyCount } == 0) return
            delay(FINAL_ANSWERS_CHECK_MS)
        }
    }

    /** Stops immediately, without waiting for requests in progress. */
    fun close() {
        callerListener.close()
        readinessListener.close()
        metricsListener.close()
        peerServer.close()
        controlScope.cancel()
        peerScope.cancel()
        traffic.close()
        control.close()
        selector.close()
    }

    private suspend fun cleanUpPools() {
        while (true) {
            delay(POOL_CLEANUP_MS)
            pools.removeObsolete(state.endpoints)
        }
    }

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503

        /** Maximum time between the admission of a request and its arrival at the endpoint, in milliseconds. */
        const val KEY_CHECK_MARGIN_MS = 400L
        const val EXPIRY_CHECK_MS = 250L
        const val DROPPED_LINES_REPORT_MS = 1_000L
        const val POOL_CLEANUP_MS = 1_000L

        /** Time in which the load balancer detects that the instance is not ready: two checks, one second apart. */
        const val BALANCER_DETECTION_MS = 2_300L
        const val STOP_CHECK_MS = 50L

        /** Longest wait for the answers to requests that the stop has ended, milliseconds. */
        const val FINAL_ANSWERS_MS = 150L
        const val FINAL_ANSWERS_CHECK_MS = 5L

        /** Time reserved for the exit of the process at the end of the stop timeout, in milliseconds. */
        const val STOP_MARGIN_MS = 300L
    }
}
