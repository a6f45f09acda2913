package io.oriolehall.entry.keys

import io.oriolehall.model.InstanceId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.peer.PeerClient
import io.oriolehall.policy.keys.Claim
import io.oriolehall.policy.keys.ClaimRequest
import io.oriolehall.policy.keys.ClaimStep
import io.oriolehall.policy.keys.IdempotencyKey
import io.oriolehall.policy.keys.KeyHolder
import io.oriolehall.policy.keys.WitnessAnswer
import io.oriolehall.policy.keys.WitnessPanel
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch

/** Asks the witnesses of a caller-made key for it. */
internal class KeyClaimant(
    private val self: KeyHolder,
    private val witness: WitnessService,
    private val peers: PeerClient,
    private val addressOf: (InstanceId) -> NetworkAddress?,
    private val clock: KeyClock,
) {
    /** What the claim to [key] came to: never [ClaimStep.Ask]. */
    suspend fun claim(key: IdempotencyKey): ClaimStep = coroutineScope {
        val roster = witness.roster()
        val answers = Channel<Pair<InstanceId, WitnessAnswer>>(Channel.UNLIMITED)
        val asked = mutableSetOf<InstanceId>()
        var claim = Claim(WitnessPanel.of(key.text, roster.roster))
        var step = claim.nextStep()
        while (step is ClaimStep.Ask) {
            for (member in step.witnesses.filter(asked::add)) {
                launch { answers.send(member to ask(member, key, roster.ticket)) }
            }
            val (member, answer) = answers.receive()
            claim = claim.withAnswer(member, answer)
            step = claim.nextStep()
        }
        coroutineContext.cancelChildren()
        step
    }

    private suspend fun ask(member: InstanceId, key: IdempotencyKey, rosterTicket: Long): WitnessAnswer {
        val request = ClaimRequest(key.text, key.bornAtMs, self, rosterTicket, clock.nowMs())
        if (member == self.instance) return witness.judge(request)
        val address = addressOf(member) ?: return WitnessAnswer.Silent
        val answer = peers.call(address, KeyChannels.CLAIM, request, ANSWER_TIMEOUT_MS)
        return if (answer.isOk) answer.value else WitnessAnswer.Silent
    }

    private companion object {
        const val ANSWER_TIMEOUT_MS = 400L
    }
}
