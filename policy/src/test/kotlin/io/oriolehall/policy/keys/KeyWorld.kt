package io.oriolehall.policy.keys

import io.oriolehall.model.Incarnation
import io.oriolehall.model.InstanceId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.OrganisationId
import io.oriolehall.model.RunOutcome

/*
 * A small world of processes, witnesses and one key, in which every order of events is tried with the real decision
 * code. A message that is never delivered stands for a lost one; a process that takes no step stands for a paused one.
 */

/** What may happen in a world, and how it starts. */
internal data class WorldLimits(
    val panel: WitnessPanel,
    val slots: List<InstanceId> = panel.members,
    val token: Boolean = false,
    val twins: Set<InstanceId> = emptySet(),
    val sends: Int = 3,
    val kills: Int = 0,
    val spawns: Int = 0,
    val ticks: Int = 1,
    val digests: List<RequestDigest> = listOf(RequestDigest("one")),
)

/** A process: a claimant, a home and a witness in one. */
internal data class Process(
    val slot: InstanceId,
    val number: Int,
    val clockOffsetMs: Long,
    val standing: WitnessStanding,
    val granted: KeyHolder? = null,
    val record: KeyRecord? = null,
    val claim: Claim? = null,
    val asked: Set<InstanceId> = emptySet(),
    val outbound: Boolean = false,
) {
    val holder get() = KeyHolder(slot, Incarnation(standing.startedAtMs, number), NetworkAddress(slot.value, 1))
}

internal sealed interface Message {
    data class Claim(val from: Int, val to: InstanceId, val request: ClaimRequest) : Message

    data class Relay(val to: KeyHolder, val digest: RequestDigest) : Message

    data class Run(val from: Int, val digest: RequestDigest) : Message

    data class RunReply(val to: Int) : Message
}

internal data class World(
    val processes: List<Process>,
    val messages: Set<Message> = emptySet(),
    val sends: Int = 0,
    val kills: Int = 0,
    val spawns: Int = 0,
    val ticks: Int = 0,
    val runs: List<RequestDigest> = emptyList(),
    val toldNotRun: Set<RequestDigest> = emptySet(),
    val wrongAnswer: Boolean = false,
) {
    /** What is wrong with this world, or null. */
    fun violation(): String? = when {
        runs.size > 1 -> "ran ${runs.size} times"
        runs.any { it in toldNotRun } -> "ran although a caller was told not-run"
        wrongAnswer -> "a request joined the answer of another"
        else -> null
    }

    fun with(process: Process): World =
        copy(processes = processes.map { if (it.number == process.number) process else it })
}

/** The events that can happen next in a world, each with the world after it. */
internal class KeyWorlds(private val limits: WorldLimits, private val rules: KeyRules = KeyRules()) {
    private val witness = Witness(rules)
    private val key = if (limits.token) tokenOfFirstProcess() else IdempotencyKey.CallerMade("key", BORN_AT_MS)

    fun initial(): World {
        val started = limits.slots + limits.slots.filter { it in limits.twins }
        return World(started.mapIndexed { number, slot -> process(slot, number, startedAtMs = 0, halfTolerance()) })
    }

    fun next(world: World): List<World> = buildList {
        for (process in world.processes) {
            addAll(processSteps(world, process))
        }
        for (message in world.messages) {
            addAll(deliveries(world.copy(messages = world.messages - message), message))
        }
        addAll(environment(world))
    }

    private fun tokenOfFirstProcess(): IdempotencyKey {
        val home = initial().processes.first().holder
        return IdempotencyKey.Token("token", TokenContent(OrganisationId("shop"), home, BORN_AT_MS, random = 1))
    }

    private fun halfTolerance() = rules.toleranceMs / 2

    private fun process(slot: InstanceId, number: Int, startedAtMs: Long, offsetMs: Long) =
        Process(slot, number, offsetMs, WitnessStanding(startedAtMs, ROSTER, startedAtMs))

    /** True time: at first the earliest moment at which a process whose clock is ahead accepts the key. */
    private fun trueTimeMs(world: World) = when (world.ticks) {
        0 -> BORN_AT_MS - rules.toleranceMs - halfTolerance()
        1 -> DEADLINE_AT_MS + rules.toleranceMs
        else -> BORN_AT_MS + rules.lifetimeMs + 2 * rules.toleranceMs
    }

    private fun clock(world: World, process: Process) = trueTimeMs(world) + process.clockOffsetMs

    private fun environment(world: World): List<World> = buildList {
        if (world.ticks < limits.ticks) add(world.copy(ticks = world.ticks + 1))
        for (process in world.processes) {
            if (world.sends < limits.sends) {
                for (digest in limits.digests) {
                    add(arrive(world.copy(sends = world.sends + 1), process, digest, relayedTo = null))
                }
            }
            if (world.kills < limits.kills) {
                add(kill(world, process))
            }
            if (rules.expired(BORN_AT_MS, clock(world, process))) add(world.with(forget(process)))
        }
        if (world.spawns < limits.spawns) addAll(limits.slots.map { spawn(world, it) })
    }

    private fun forget(process: Process) =
        process.copy(granted = null, record = process.record?.takeUnless { it.state.isSettled() })

    private fun kill(world: World, process: Process): World {
        val readable = world.messages.filterNot { it is Message.RunReply && it.to == process.number }.toSet()
        return world.copy(kills = world.kills + 1, processes = world.processes - process, messages = readable)
    }

    private fun spawn(world: World, slot: InstanceId): World {
        val offset = -halfTolerance()
        val number = NEW_PROCESSES + world.spawns
        val spawned = process(slot, number, trueTimeMs(world) + offset, offset)
        return world.copy(spawns = world.spawns + 1, processes = world.processes + spawned)
    }

    private fun arrive(world: World, process: Process, digest: RequestDigest, relayedTo: KeyHolder?): World {
        val arrival = KeyHome(process.holder, rules)
            .arrive(key, digest, process.record, clock(world, process), relayedTo)
        return when (arrival) {
            is Arrival.Begin -> world.with(begin(process, arrival.record)).askWitnesses(process.number)
            is Arrival.Relay -> world.copy(messages = world.messages + Message.Relay(arrival.holder, digest))
            is Arrival.Reused -> if (arrival.certain) world.told(digest) else world
            Arrival.Join -> join(world, process.record, digest)
            Arrival.HolderLost, Arrival.Expired -> world
        }
    }

    private fun begin(process: Process, record: KeyRecord): Process {
        val claiming = record.state == KeyState.Claiming
        return process.copy(record = record, claim = if (claiming) Claim(limits.panel) else null, asked = emptySet())
    }

    private fun join(world: World, record: KeyRecord?, digest: RequestDigest): World =
        if (record?.digest == digest) world else world.copy(wrongAnswer = true)

    private fun World.told(digest: RequestDigest) = copy(toldNotRun = toldNotRun + digest)

    private fun World.askWitnesses(number: Int): World {
        val process = processes.first { it.number == number }
        val step = process.claim?.next() as? ClaimStep.Ask ?: return this
        val fresh = step.witnesses.filter { it !in process.asked }
        val request = ClaimRequest("key", BORN_AT_MS, process.holder, ROSTER, clock(this, process))
        return with(process.copy(asked = process.asked + fresh))
            .copy(messages = messages + fresh.map { Message.Claim(number, it, request) })
    }

    private fun deliveries(world: World, message: Message): List<World> = when (message) {
        is Message.Claim -> world.processes.filter { it.slot == message.to }.flatMap { judge(world, it, message) }

        is Message.Relay ->
            world.processes.filter { it.slot == message.to.instance }
                .map { arrive(world, it, message.digest, message.to) }

        is Message.Run -> listOf(
            world.copy(runs = world.runs + message.digest, messages = world.messages + Message.RunReply(message.from)),
            transition(world, message.from, KeyRecord::declined),
        )

        is Message.RunReply -> listOf(transition(world, message.to, KeyRecord::executed))
    }

    /** The reply arrives at once, or never: a later reply shows the claimant nothing that a later request would not. */
    private fun judge(world: World, process: Process, message: Message.Claim): List<World> {
        val answer = witness.judge(message.request, process.granted, process.standing, clock(world, process))
        val grants = answer == WitnessAnswer.Granted && process.granted == null
        val after = if (grants) process.copy(granted = message.request.holder) else process
        val judged = world.with(after)
        return listOf(judged, answer(judged, message.from, message.to, answer))
    }

    private fun answer(world: World, number: Int, from: InstanceId, answer: WitnessAnswer): World {
        val process = world.processes.find { it.number == number } ?: return world
        val claim = process.claim ?: return world
        return world.with(process.copy(claim = claim.answered(from, answer))).askWitnesses(number)
    }

    private fun transition(world: World, number: Int, change: (KeyRecord) -> KeyRecord): World {
        val process = world.processes.find { it.number == number } ?: return world
        val record = process.record ?: return world
        val after = change(record)
        val settled = if (after.state == KeyState.Claiming) process.claim else null
        val changed = world.with(process.copy(record = after, claim = settled))
        return if (after.outcome == RunOutcome.NOT_RUN) changed.told(after.digest) else changed
    }

    private fun processSteps(world: World, process: Process): List<World> = buildList {
        val record = process.record ?: return@buildList
        process.claim?.let { addAll(claimSteps(world, process, it)) }
        if (process.outbound) {
            val left = world.with(process.copy(outbound = false))
            add(left.copy(messages = left.messages + Message.Run(process.number, record.digest)))
            add(transition(left, process.number, KeyRecord::declined))
            return@buildList
        }
        if (record.state is KeyState.Held) add(send(world, process))
        if ((record.state as? KeyState.Held)?.ran == true) add(transition(world, process.number, KeyRecord::answered))
        if (record.holds) add(transition(world, process.number, KeyRecord::abandoned))
    }

    private fun claimSteps(world: World, process: Process, claim: Claim): List<World> = buildList {
        for (silent in process.asked.filter { it !in claim.answers }) {
            add(answer(world, process.number, silent, WitnessAnswer.Silent))
        }
        val step = claim.next()
        if (step !is ClaimStep.Ask) add(transition(world, process.number) { it.claimed(step) })
    }

    private fun send(world: World, process: Process): World {
        if ((process.record?.state as? KeyState.Held)?.ran == true) return world
        val now = clock(world, process)
        val after = transition(world, process.number) { it.sending(now, DEADLINE_AT_MS) }
        val sent = after.processes.first { it.number == process.number }
        return if (sent.record?.state is KeyState.Sent) after.with(sent.copy(outbound = true)) else after
    }

    private companion object {
        const val BORN_AT_MS = 10_000_000L
        const val DEADLINE_AT_MS = BORN_AT_MS + 4_000L
        const val ROSTER = 1L
        const val NEW_PROCESSES = 100
    }
}
