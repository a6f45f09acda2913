package io.oriolehall.entry.keys

import io.oriolehall.entry.answers.AnswerStore
import io.oriolehall.entry.requests.PipelineExecutor
import io.oriolehall.entry.requests.RequestGate
import io.oriolehall.model.InstanceId
import io.oriolehall.model.MintedToken
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.OrganisationId
import io.oriolehall.peer.PeerClient
import io.oriolehall.peer.PeerServer
import io.oriolehall.policy.config.ConfigSnapshot
import io.oriolehall.policy.keys.KeyArrivalPolicy
import io.oriolehall.policy.keys.KeyHolder
import io.oriolehall.policy.keys.KeyRules
import io.oriolehall.policy.keys.KeyTable
import io.oriolehall.policy.keys.TokenCodec
import io.oriolehall.runtime.EventLog
import io.oriolehall.runtime.TimerService
import java.security.SecureRandom
import kotlin.random.asKotlinRandom

/** Idempotency keys of one instance: it mints tokens, holds keys, witnesses those of others and relays requests. */
class KeyService(
    private val self: KeyHolder,
    secret: String,
    private val rules: KeyRules,
    private val config: () -> ConfigSnapshot,
    private val peers: PeerClient,
    private val dialled: (NetworkAddress) -> NetworkAddress,
    private val addressOf: (InstanceId) -> NetworkAddress?,
    private val timers: TimerService,
    private val log: EventLog,
) {
    private val clock = KeyClock(timers)

    /** Safe for use by several threads: requests for tokens are served concurrently. */
    private val random = SecureRandom().asKotlinRandom()
    private val tokens = TokenCodec(secret)
    private val table = KeyTable(KeyArrivalPolicy(self, rules), rules)
    private val witness = WitnessService(config, rules, clock)

    /** False while this instance cannot witness keys that are made now. */
    val vouchesForNewKeys: Boolean get() = witness.vouchesForNewKeys

    /** A new token of [organisation]; only this process ever runs a request under it. */
    fun mint(organisation: OrganisationId): MintedToken =
        MintedToken(tokens.mint(organisation, self, clock.nowMs(), random), rules.lifetimeMs)

    /** The gate of requests, which also answers those that other instances pass on. */
    fun open(server: PeerServer, executor: PipelineExecutor, answers: AnswerStore): RequestGate {
        val claimant = KeyClaimant(self, witness, peers, addressOf, clock)
        val relay = KeyRelay(peers, dialled, timers, log)
        val gate =
            KeyGate(self, tokens, table, claimant, relay, executor, answers, config, clock, timers, log)
        server.answer(KeyChannels.CLAIM) { witness.judge(it) }
        server.serve(KeyChannels.RELAY) { message, emit -> gate.relayed(message, emit) }
        timers.every("key expiry", MAINTENANCE_PERIOD_MS) { maintain() }
        return gate
    }

    private fun maintain() {
        witness.maintain()
        table.removeExpired(clock.nowMs())
    }

    private companion object {
        const val MAINTENANCE_PERIOD_MS = 200L
    }
}
