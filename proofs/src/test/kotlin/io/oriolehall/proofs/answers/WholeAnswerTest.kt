package io.oriolehall.proofs.answers

import io.oriolehall.cli.client.CallOutcome
import io.oriolehall.harness.fleet.EndpointProcess
import io.oriolehall.harness.fleet.EntryProcess
import io.oriolehall.harness.fleet.Fleet
import io.oriolehall.harness.fleet.awaitThat
import io.oriolehall.harness.fleet.fleetSpec
import io.oriolehall.harness.process.MachineLock
import io.oriolehall.model.PipelineRequest
import io.oriolehall.model.RunOutcome
import io.oriolehall.model.StageKind
import io.oriolehall.standins.compute.DataSet
import io.oriolehall.standins.compute.expectedAnswer
import io.oriolehall.standins.endpoint.Behaviour
import io.oriolehall.standins.faultproxy.Fault
import io.oriolehall.standins.faultproxy.FaultMatch
import io.oriolehall.standins.faultproxy.FaultMode
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.startsWith
import java.util.concurrent.atomic.AtomicInteger

/** Breaks streams at every place between engine and caller: the caller ends with each byte once and in order. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
@Timeout(120)
class WholeAnswerTest {
    private val lock = MachineLock.take()
    private val sent = AtomicInteger()
    private lateinit var fleet: Fleet

    @BeforeAll
    fun start(): Unit = runBlocking { fleet = Fleet.start(spec) }

    @AfterAll
    fun stop() {
        fleet.close()
        lock.close()
    }

    @AfterEach
    fun repair(): Unit = runBlocking {
        fleet.faults.heal()
        fleet.entries.filterNot { it.process.alive }.forEach { it.restart() }
        awaitThat("all instances are ready") { fleet.entries.all { it.ready() } }
        for (engine in fleet.endpoints) {
            if (engine.process.alive) engine.behave(Behaviour()) else engine.restart()
        }
    }

    @Test
    fun `an engine killed in mid-stream is replaced by another one`(): Unit = runBlocking {
        val outcome = draftWhile { it.process.kill() }
        expectThat(outcome).isWhole()
    }

    @Test
    fun `a connection reset in mid-stream is taken up at the same engine`(): Unit = runBlocking {
        val before = executions()
        val outcome = draftWhile { fleet.faults.add(Fault(linksTo(it), FaultMode.RESET_OPEN)) }
        expectThat(outcome).isWhole()
        expectThat(executions() - before).isEqualTo(1)
    }

    @Test
    fun `a connection that falls silent in mid-stream is taken up at the same engine`(): Unit = runBlocking {
        fleet.endpoints.forEach { it.behave(Behaviour(loseReply = 1)) }
        val before = executions()
        expectThat(draft()).isWhole()
        expectThat(executions() - before).isEqualTo(1)
    }

    @Test
    fun `late lines of an engine that was cut off do not enter the answer of another one`(): Unit = runBlocking {
        val before = executions()
        val outcome = draftWhile { cut ->
            fleet.faults.add(Fault(linksTo(cut), FaultMode.CUT))
            val other = fleet.endpoints.first { it !== cut }
            awaitThat("the other engine runs the stage") { other.stats().running == 1 }
            fleet.faults.heal()
        }
        expectThat(outcome).isWhole()
        expectThat(executions() - before).isEqualTo(2)
    }

    @Test
    fun `lines of an earlier attempt and repeated lines are dropped`(): Unit = runBlocking {
        fleet.endpoints.forEach { it.behave(Behaviour(staleLines = 1, duplicateReply = 1)) }
        expectThat(draft()).isWhole()
    }

    @Test
    fun `an answer that another engine continues differently is not finished`(): Unit = runBlocking {
        val outcome = draftWhile { engine ->
            fleet.endpoints.first { it !== engine }.behave(Behaviour(otherText = 1))
            engine.process.kill()
        }
        expectThat(outcome).isA<CallOutcome.Refused>().and {
            get { problem.detail }.contains("cannot be finished")
            get { expected(requestText()) }.startsWith((outcome as CallOutcome.Refused).received)
        }
    }

    @Test
    fun `a caller takes its answer up again through each instance`(): Unit = runBlocking {
        for (through in fleet.entries) {
            val broken = send { received -> if (received > FEW) error("the caller's connection broke") }
            val part = expectThat(broken).isA<CallOutcome.Broken>().subject
            val outcome = fleet.caller(ORGANISATION, through).resume(checkNotNull(part.requestId), part.received)
            expectThat(outcome).isWhole()
        }
    }

    @Test
    fun `a caller whose instance was killed is told that its answer is not whole`(): Unit = runBlocking {
        val holder = fleet.entries.last()
        val broken = send(through = holder) { received ->
            if (received > FEW &&
                holder.process.alive
            ) {
                holder.process.kill()
            }
        }
        val part = expectThat(broken).isA<CallOutcome.Broken>().subject
        expectThat(expected(requestText())).startsWith(part.received)
        val resumed = fleet.caller(ORGANISATION, fleet.entries.first())
            .resume(checkNotNull(part.requestId), part.received)
        expectThat(resumed).isA<CallOutcome.Refused>().get { problem.outcome }.isEqualTo(RunOutcome.UNKNOWN)
    }

    @Test
    fun `a stream whose caller has gone for good is stopped at the engine`(): Unit = runBlocking {
        val before = cancels()
        send(maxTokens = MANY_TOKENS) { received -> if (received > FEW) error("the caller has gone") }
        awaitThat("the engine was told to stop") { cancels() > before }
        awaitThat("no engine runs anything") { fleet.endpoints.all { it.stats().running == 0 } }
    }

    @Test
    fun `a stream whose deadline has passed is stopped at the engine`(): Unit = runBlocking {
        val before = cancels()
        val outcome = send(maxTokens = MANY_TOKENS, deadlineMs = TIGHT_DEADLINE_MS)
        expectThat(outcome).isA<CallOutcome.Refused>().get { received.length }.isGreaterThan(0)
        awaitThat("the engine was told to stop") { cancels() > before }
    }

    private val spec = fleetSpec("answers") {
        proxied = true
        zone("z1") {
            entries(2)
            repeat(2) {
                endpoint("engine-$it", "engines", StageKind.GENERATE, arguments = listOf("--tokens-per-second=40"))
            }
        }
        organisation(ORGANISATION)
        pipeline("draft") { stage("generate", StageKind.GENERATE, "engines", expectedMs = 1_500) }
    }

    /** Sends a request and, once its answer has begun, runs [cause] with the engine that generates it. */
    private suspend fun draftWhile(cause: suspend (EndpointProcess) -> Unit): CallOutcome = coroutineScope {
        val begun = AtomicInteger()
        val answer = async { draft { begun.set(it) } }
        awaitThat("the answer has begun") { begun.get() > FEW }
        cause(fleet.endpoints.first { it.stats().running == 1 })
        answer.await()
    }

    private suspend fun draft(onReceived: (Int) -> Unit = {}) = send(onReceived = onReceived)

    private suspend fun send(
        maxTokens: Int = TOKENS,
        deadlineMs: Long = DEADLINE_MS,
        through: EntryProcess = fleet.entries.first(),
        onReceived: (Int) -> Unit = {},
    ): CallOutcome {
        sent.incrementAndGet()
        var received = 0
        return fleet.caller(ORGANISATION, through)
            .send("draft", PipelineRequest(requestText(), maxTokens), deadlineMs) {
                received += it.length
                onReceived(received)
            }
    }

    private fun requestText() = "a care note for the beech pin of customer ${sent.get()}, oiled and dried"

    private fun expected(text: String) = expectedAnswer(fleet.pipeline("draft"), text, TOKENS, data)

    private fun strikt.api.Assertion.Builder<CallOutcome>.isWhole() =
        isA<CallOutcome.Whole>().get { text }.isEqualTo(expected(requestText()))

    private fun linksTo(engine: EndpointProcess) = FaultMatch(targetId = engine.spec.id.value)

    private suspend fun executions() = fleet.endpoints.sumOf { it.stats().executions.values.sum() }

    private suspend fun cancels() = fleet.endpoints.sumOf { it.stats().cancels }

    private companion object {
        const val ORGANISATION = "lemn"
        const val TOKENS = 60
        const val MANY_TOKENS = 400
        const val FEW = 40
        const val DEADLINE_MS = 15_000L

        /** Enough to be admitted and too little for [MANY_TOKENS]. */
        const val TIGHT_DEADLINE_MS = 3_000L
        val data = DataSet.load("kimono")
    }
}
