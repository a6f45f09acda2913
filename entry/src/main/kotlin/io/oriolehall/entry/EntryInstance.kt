package io.oriolehall.entry

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import io.ktor.network.selector.SelectorManager
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.oriolehall.entry.answers.AnswerStore
import io.oriolehall.entry.config.ConfigExchange
import io.oriolehall.entry.config.ConfigReader
import io.oriolehall.entry.config.ConfigStore
import io.oriolehall.entry.config.InstanceDirectory
import io.oriolehall.entry.config.ServiceReturns
import io.oriolehall.entry.cost.CostMetrics
import io.oriolehall.entry.explain.RequestHistory
import io.oriolehall.entry.http.CallerRoutes
import io.oriolehall.entry.http.HttpListener
import io.oriolehall.entry.http.OperatorRoutes
import io.oriolehall.entry.http.RequestReader
import io.oriolehall.entry.http.ResponseCheck
import io.oriolehall.entry.keys.KeyService
import io.oriolehall.entry.limits.ConcurrencyLimits
import io.oriolehall.entry.limits.EqualSplitLimits
import io.oriolehall.entry.limits.LeasedLimits
import io.oriolehall.entry.limits.LoadReports
import io.oriolehall.entry.limits.Unlimited
import io.oriolehall.entry.membership.MembershipService
import io.oriolehall.entry.orders.EngineOrders
import io.oriolehall.entry.quarantine.CrashProbe
import io.oriolehall.entry.quarantine.Quarantine
import io.oriolehall.entry.requests.AnswerRelay
import io.oriolehall.entry.requests.PipelineExecutor
import io.oriolehall.entry.stages.EndpointClient
import io.oriolehall.entry.stages.EndpointSlots
import io.oriolehall.entry.stages.StageRunner
import io.oriolehall.entry.stopping.GracefulStop
import io.oriolehall.entry.stopping.UnfinishedWork
import io.oriolehall.model.Incarnation
import io.oriolehall.model.Instance
import io.oriolehall.model.InstanceId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.settings.EntrySettings
import io.oriolehall.peer.PeerClient
import io.oriolehall.peer.PeerServer
import io.oriolehall.policy.config.ConfigSnapshot
import io.oriolehall.policy.keys.KeyHolder
import io.oriolehall.policy.keys.KeyRules
import io.oriolehall.policy.membership.Member
import io.oriolehall.policy.retry.RetryBudget
import io.oriolehall.runtime.AuditTrail
import io.oriolehall.runtime.ControlThread
import io.oriolehall.runtime.CoroutineTimerService
import io.oriolehall.runtime.Event
import io.oriolehall.runtime.StructuredEventLog
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlin.random.Random

/**
 * An entry instance: takes callers' requests, runs them through their pipelines at the endpoints and streams the
 * answers back. This class puts the parts together; each part lives in a package of its own.
 */
class EntryInstance(private val settings: EntrySettings) {
    private val self = settings.instance
    private val incarnation = Incarnation(System.currentTimeMillis(), Random.nextInt())
    private val log = StructuredEventLog("oriolehall.${self.id}")

    private val control = ControlThread()
    private val controlScope = CoroutineScope(control.dispatcher + SupervisorJob())
    private val trafficScope = CoroutineScope(Dispatchers.Default + SupervisorJob())
    private val timers = CoroutineTimerService(controlScope, log)
    private val audit = AuditTrail(self.id.value, timers, log)
    private val metrics = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    private val http = HttpClient(CIO) {
        expectSuccess = false
        install(ResponseCheck)
        engine {
            requestTimeout = 0
            maxConnectionsCount = MAX_CONNECTIONS
            endpoint {
                connectTimeout = CONNECT_TIMEOUT_MS
                maxConnectionsPerRoute = MAX_CONNECTIONS
            }
        }
    }
    private val selector = SelectorManager(Dispatchers.IO)
    private val peerMetrics = PeerMetrics(metrics)
    private val peerClient = PeerClient(selector, trafficScope, peerMetrics)
    private val peerServer = PeerServer(selector, trafficScope, log, peerMetrics)

    private val returns = ServiceReturns(timers)
    private val configStore = ConfigStore(returns, audit, log)
    private val configReader =
        ConfigReader(http, settings.dialled(settings.platform.configuration), controlScope, configStore, log)
    private val directory =
        InstanceDirectory(
            http,
            settings.dialled(settings.platform.instances),
            timers,
            InstanceDirectory.periodMs(settings),
        )
    private val config: () -> ConfigSnapshot = { configStore.config }
    private val exchange = ConfigExchange(configStore, configReader, peerClient, controlScope, log, ::ready)

    @Volatile
    private var membership: MembershipService? = null

    private val answers = AnswerStore(timers)
    private val history = RequestHistory()
    private val engineOrders = EngineOrders(
        settings = settings,
        incarnation = incarnation,
        store = configStore,
        view = { membership?.view?.value },
        http = http,
        peers = peerClient,
        scope = controlScope,
        timers = timers,
        audit = audit,
        log = log,
    )
    private val limits = limits()
    private val slots = EndpointSlots(
        zone = self.zone,
        config = config,
        policy = settings.policy.chosenEndpointPolicy(),
        limits = limits,
        admission = settings.policy.chosenAdmission(),
        scope = trafficScope,
        timers = timers,
    )
    private val quarantine = Quarantine(
        self = self,
        instances = { instances() },
        dialled = settings::dialled,
        peers = peerClient,
        server = peerServer,
        probe = CrashProbe(http, settings::dialled),
        scope = trafficScope,
        timers = timers,
        audit = audit,
    )
    private val stages = StageRunner(
        slots = slots,
        quarantine = quarantine,
        budget = RetryBudget(),
        cost = CostMetrics(metrics),
        client = EndpointClient(http, settings::dialled),
        history = history,
        timers = timers,
        log = log,
    )
    private val executor = PipelineExecutor(self.id, trafficScope, stages, answers, history, timers, log)
    private val relay = AnswerRelay(self.id, peerClient) { id -> addressOf(id)?.let(settings::dialled) }
    private val callers: HttpListener =
        HttpListener(settings.listen.callers, log, { graceful.leaving }) { callerRoutes().install(this) }
    private val unfinished = object : UnfinishedWork {
        override val requests get() = answers.unfinished
        override val responses get() = callers.activeCalls
    }
    private val keys = KeyService(
        self = KeyHolder(self.id, incarnation, settings.listen.peers),
        secret = settings.tokens.secret,
        rules = KeyRules(settings.keys.lifetimeMs, settings.keys.clockToleranceMs),
        config = config,
        peers = peerClient,
        dialled = settings::dialled,
        addressOf = { id -> addressOf(id)?.let(settings::dialled) },
        timers = timers,
        log = log,
    )
    private val gate = keys.open(peerServer, executor, answers)
    private val graceful = GracefulStop(settings.stop, unfinished, timers, log)
    private val readiness = Readiness(configStore, configReader, exchange, { membership }, graceful)
    private val operators = HttpListener(settings.listen.operators, log) { operatorRoutes().install(this) }

    /** Starts all parts and listens. */
    suspend fun start(): EntryAddresses {
        AnswerRelay.serve(peerServer, answers)
        val peers = peerServer.start(settings.listen.peers)
        configReader.start()
        directory.start()
        if (settings.peers.exchange) startMembership(peers)
        slots.start()
        engineOrders.start(peerServer)
        quarantine.start()
        val addresses = EntryAddresses(callers.start(), operators.start(), peers)
        log.write(Event.INSTANCE_STARTED, "addresses" to addresses, "incarnation" to incarnation)
        return addresses
    }

    private fun startMembership(peers: NetworkAddress) {
        exchange.serve(peerServer)
        val service = MembershipService(
            self = Instance(self.id, self.zone, peers),
            incarnation = incarnation,
            client = peerClient,
            store = configStore,
            reader = configReader,
            exchange = exchange,
            hints = directory,
            contacts = settings.peers.contacts,
            dialled = settings::dialled,
            timers = timers,
            scope = controlScope,
            control = control.dispatcher,
            audit = audit,
            log = log,
        )
        membership = service
        service.start(peerServer)
    }

    /** Leaves the fleet, finishes what has begun within the time set for it, and stops all parts. */
    suspend fun stop() {
        graceful.run { membership?.announceLeaving() }
        callers.stop()
        operators.stop()
        limits.leave()
        membership?.announceStopped()
        peerServer.close()
        trafficScope.cancel()
        controlScope.cancel()
        http.close()
        selector.close()
        control.close()
        log.write(Event.INSTANCE_STOPPED)
    }

    private fun callerRoutes() = CallerRoutes(
        instance = self.id,
        reader = RequestReader(config, timers),
        gate = gate,
        answers = answers,
        relay = relay,
        mint = keys::mint,
        refusal = readiness::refusal,
    )

    private fun operatorRoutes() = OperatorRoutes(::status, ::ready, metrics, audit, history, limits::owned) {
        quarantine.known
    }

    private fun ready(): Boolean = readiness.ready

    private fun addressOf(id: InstanceId): NetworkAddress? =
        membership?.view?.value?.member(id)?.address ?: directory.find(id)?.peerAddress

    private fun status() = InstanceStatus(
        id = self.id,
        zone = self.zone,
        incarnation = incarnation,
        ready = ready(),
        highestTicket = config().highestTicket,
        unfinishedRequests = answers.unfinished,
        vouchesForNewKeys = keys.vouchesForNewKeys,
        notReadyBecause = readiness.obstacle(),
        platformReachable = configReader.reachable,
        platformRevision = configReader.revision,
        configDigest = configStore.state.value.digest.combined.toULong().toString(HEX),
        rejectedTickets = configStore.rejected,
        peers = membership?.peers().orEmpty(),
        engines = engineOrders.status(),
    )

    /** The fleet by heartbeats; by the platform's list until there is a view. */
    private fun instances(): List<Instance> {
        val members = membership?.view?.value?.members?.values ?: return directory.instances
        return members.filter(Member::reachable).map { Instance(it.id, it.zone, it.address, leaving = !it.canOwn) }
    }

    private fun endpoints() = config().endpointsByPool.values.flatten()

    private fun limits(): ConcurrencyLimits = when (settings.policy.limits) {
        "none" -> Unlimited

        "equal-split" -> EqualSplitLimits(
            scope = trafficScope,
            endpoints = { endpoints() },
            instances = { zone -> directory.instances.count { it.zone == zone } },
            reports = loadReports(),
            timers = timers,
        )

        else -> LeasedLimits(
            self = self,
            incarnation = incarnation,
            scope = controlScope,
            endpoints = { endpoints() },
            instances = { instances() },
            dialled = settings::dialled,
            peers = peerClient,
            server = peerServer,
            reports = loadReports(),
            timers = timers,
            subsetSize = settings.policy.endpointSubset,
        )
    }

    private fun loadReports() = LoadReports(http, settings::dialled, engineOrders::holds)

    private companion object {
        const val CONNECT_TIMEOUT_MS = 500L
        const val MAX_CONNECTIONS = 2_000
        const val HEX = 16
    }
}
