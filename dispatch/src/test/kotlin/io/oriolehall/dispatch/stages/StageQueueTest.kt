package io.oriolehall.dispatch.stages

import io.oriolehall.dispatch.config.PieceLimits
import io.oriolehall.dispatch.endpoints.EndpointLoad
import io.oriolehall.dispatch.endpoints.EndpointRecord
import io.oriolehall.dispatch.endpoints.LoadReport
import io.oriolehall.model.EndpointId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.ZoneId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.random.Random

class StageQueueTest {
    private val limits = PieceLimits(
        slots = 1,
        batch = 4,
        callMs = 240.0,
        pieceMs = 30.0,
        resultMemoryBytes = 1_000,
        resultLifetimeMs = 4_000,
    )
    private val queue = StageQueue(limits)
    private var nextGroup = 0L

    private fun worker(
        name: String,
        zone: String = "a",
        load: EndpointLoad = EndpointLoad(),
        coldMs: Long = 0,
    ) = StageWorker(
        EndpointRecord(EndpointId(name), 1, "s", NetworkAddress("10.0.0.1", 1), ZoneId(zone), 1, false, coldMs),
        limits,
        load,
    )

    private fun load(factor: Double, waiting: Int = 0, nowMs: Long = 0) =
        EndpointLoad().apply { onReport(LoadReport(minOf(1, waiting), waiting, 1, factor), nowMs) }

    private fun pieces(
        request: String,
        count: Int,
        objectiveAtMs: Long = 2_000,
        deadlineAtMs: Long = 15_000,
        priority: Int = 0,
        bytes: Long = 10,
        input: PieceInput = PieceInput.Key("k"),
        zone: String? = null,
        inputsHoldMemory: Boolean = input is PieceInput.Results,
    ): List<PieceWork> {
        val group = nextGroup++
        return List(count) {
            PieceWork(
                requestId = request,
                stage = 0,
                piece = it,
                input = input,
                group = group,
                arrivedAtMs = 0,
                preferredZone = zone?.let(::ZoneId),
                resultBytes = bytes,
                inputsHoldMemory = inputsHoldMemory,
                objectiveAtMs = objectiveAtMs,
                deadlineAtMs = deadlineAtMs,
                priority = priority,
            )
        }
    }

    private fun PlannedCall.requests() = pieces.map(PieceWork::requestId)

    @Test
    fun `a piece starts at once at a free worker and calls are filled while all work`() {
        val worker = worker("x")
        queue.add(pieces("a", 1))
        val first = requireNotNull(queue.next(listOf(worker), nowMs = 0))
        worker.onCallStarted(first, nowMs = 0)
        queue.add(pieces("b", 1))
        queue.add(pieces("c", 2))
        expectThat(queue.next(listOf(worker), nowMs = 10)).isNull()
        worker.onCallEnded(first, 270, elapsedMs = 270)
        expectThat(queue.next(listOf(worker), nowMs = 270)).isNotNull()
            .get { requests() }.containsExactly("b", "c", "c")
    }

    @Test
    fun `pieces that can still be on time go before late ones`() {
        queue.add(pieces("late", 4, objectiveAtMs = 100))
        queue.add(pieces("on time", 3, objectiveAtMs = 1_000))
        expectThat(queue.next(listOf(worker("x")), nowMs = 0)).isNotNull()
            .get { requests().distinct() }.isEqualTo(listOf("on time"))
    }

    @Test
    fun `a late piece that continues a request keeps its turn, because its inputs hold memory elsewhere`() {
        queue.add(pieces("late", 4, objectiveAtMs = 100, input = PieceInput.Results(listOf("h"))))
        queue.add(pieces("on time", 4, objectiveAtMs = 1_000, input = PieceInput.Results(listOf("h"))))
        expectThat(queue.next(listOf(worker("x")), nowMs = 0)).isNotNull()
            .get { requests().distinct() }.isEqualTo(listOf("late"))
    }

    @Test
    fun `a large result waits a little for a worker of the zone where it is fetched`() {
        val workers = listOf(worker("x"), worker("y", zone = "b"))
        val near = workers[1]
        queue.add(pieces("a", 1, zone = "b"))
        near.onCallStarted(requireNotNull(queue.next(workers, nowMs = 0)), nowMs = 0)
        queue.add(pieces("c", 1, zone = "b"))
        expectThat(queue.next(workers, nowMs = 199)).isNull()
        expectThat(queue.next(workers, nowMs = 200)).isNotNull().get { worker }.isEqualTo(workers[0])
    }

    @Test
    fun `with work for several zones a worker takes that of its own first`() {
        val own = worker("y", zone = "b")
        val workers = listOf(worker("x"), own)
        queue.add(pieces("far", 4, input = PieceInput.Results(listOf("h")), zone = "a"))
        queue.add(pieces("near", 4, input = PieceInput.Results(listOf("h")), zone = "b"))
        workers.first().onCallStarted(PlannedCall(workers.first(), emptyList()), nowMs = 0)
        expectThat(queue.next(workers, nowMs = 400)).isNotNull().get { requests() }
            .containsExactly(List(4) { "near" })
        own.onCallEnded(PlannedCall(own, emptyList()), 0, elapsedMs = null)
        expectThat(queue.next(workers, nowMs = 400)).isNotNull().get { requests() }
            .containsExactly(List(4) { "far" })
    }

    /** Guards against late pieces of later stages that delay all others although their inputs hold no scarce memory. */
    @Test
    fun `late pieces that hold no scarce memory wait for those that can be on time`() {
        val input = PieceInput.Results(listOf("h"))
        queue.add(pieces("late", 4, objectiveAtMs = 100, input = input, inputsHoldMemory = false))
        queue.add(pieces("timely", 4, objectiveAtMs = 2_000, input = input, inputsHoldMemory = false))
        expectThat(queue.next(listOf(worker("x")), nowMs = 0)).isNotNull().get { requests() }
            .containsExactly(List(4) { "timely" })
    }

    @Test
    fun `a group waits for room for all of it`() {
        val worker = worker("x")
        worker.onResultStored("h", 700, nowMs = 0)
        queue.add(pieces("a", 2, bytes = 200))
        expectThat(queue.next(listOf(worker), nowMs = 0)).isNull()
        worker.onResultFreed("h")
        expectThat(queue.next(listOf(worker), nowMs = 0)).isNotNull().get { pieces }.hasSize(2)
    }

    @Test
    fun `results that turn out larger than configured leave room for fewer`() {
        val worker = worker("x")
        repeat(5) { worker.onMemoryExhausted(nowMs = 0) }
        queue.add(pieces("a", 4, bytes = 250))
        expectThat(queue.next(listOf(worker), nowMs = 1_000)).isNotNull().get { pieces }.hasSize(3)
    }

    @Test
    fun `a call takes no more results than its worker has room for`() {
        val worker = worker("x")
        queue.add(pieces("a", 4, bytes = 400))
        expectThat(queue.next(listOf(worker), nowMs = 0)).isNotNull().get { pieces }.hasSize(2)
    }

    @Test
    fun `room comes back when a result is freed or its lifetime is over`() {
        val worker = worker("x")
        worker.onResultStored("h1", 600, nowMs = 0)
        worker.onResultStored("h2", 400, nowMs = 0)
        expectThat(worker.freeResultBytes(nowMs = 10)).isEqualTo(0)
        worker.onResultFreed("h1")
        expectThat(worker.freeResultBytes(nowMs = 10)).isEqualTo(600)
        expectThat(worker.freeResultBytes(nowMs = 4_000)).isEqualTo(1_000)
    }

    @Test
    fun `a request that cannot be served any more leaves the queue`() {
        queue.add(pieces("a", 2, deadlineAtMs = 200))
        queue.add(pieces("b", 1, deadlineAtMs = 2_000))
        expectThat(queue.removeUnservable(nowMs = 0).map(PieceWork::requestId)).containsExactly("a", "a")
        expectThat(queue.size).isEqualTo(1)
    }

    @Test
    fun `the estimate grows with what waits`() {
        val workers = listOf(worker("x"), worker("y"))
        val empty = queue.estimateMs(workers, 2, nowMs = 0)
        repeat(10) { queue.add(pieces("r$it", 4)) }
        expectThat(empty).isLessThan(400.0)
        expectThat(queue.estimateMs(workers, 2, nowMs = 0)).isGreaterThan(empty + 1_500)
    }

    /**
     * Load: three workers and requests of two pieces at 28 pieces per second, beyond the capacity of single-piece
     * calls.
     */
    @Test
    fun `steady load below what full calls bear is served on time`() {
        val done = simulate(workers = 3, pieceIntervalMs = 36, untilMs = 20_000)
        expectThat(done.filter { it.first < 18_000 }).all { get { second }.isLessThan(1_500) }
    }

    /** Simulates steady load. Returns the arrival time and the latency of each piece, milliseconds. */
    private fun simulate(workers: Int, pieceIntervalMs: Long, untilMs: Long): List<Pair<Long, Long>> {
        class Running(val call: PlannedCall, val endMs: Long, val expectedEndMs: Long)
        val all = List(workers) { worker("w$it") }
        val running = mutableListOf<Running>()
        val done = mutableListOf<Pair<Long, Long>>()
        for (nowMs in 0 until untilMs) {
            if (nowMs % (2 * pieceIntervalMs) == 0L) queue.add(pieces("$nowMs", 2, objectiveAtMs = nowMs + 1_500))
            for (ended in running.filter { it.endMs == nowMs }) {
                running.remove(ended)
                ended.call.worker.onCallEnded(
                    ended.call,
                    ended.expectedEndMs,
                    (ended.call.worker.expectedMs(4)).toLong(),
                )
                done += ended.call.pieces.map { it.requestId.toLong() to nowMs - it.requestId.toLong() }
            }
            while (true) {
                val call = queue.next(all, nowMs) ?: break
                val expectedEndMs = call.worker.onCallStarted(call, nowMs)
                running += Running(call, nowMs + 240 + 30L * call.pieces.size, expectedEndMs)
            }
        }
        return done
    }

    @Test
    fun `while all workers are excluded, the time until the first is tried again is expected`() {
        val workers = listOf(worker("w1"), worker("w2"))
        workers.forEach { it.health.onConnectionFailure(nowMs = 0) }
        expectThat(queue.expectedMs(workers, nowMs = 100)).isGreaterThan(200.0).isLessThan(1_000.0)
    }

    @Test
    fun `a worker that is slow, has tasks of others, is far or cold is not chosen, and is again later`() {
        val remote = worker("x", zone = "b", load = load(1.0))
        val cold = worker("x", load = load(1.0), coldMs = 1_000)
        for (worse in listOf(worker("x", load = load(3.0)), worker("x", load = load(1.0, waiting = 1)), remote, cold)) {
            val better = worker("y", load = load(1.0))
            for (workers in List(8) { listOf(worse, better).shuffled() }) {
                queue.add(pieces("a", 1, zone = "a"))
                expectThat(queue.next(workers, nowMs = 200)).isNotNull().get { worker }.isEqualTo(better)
            }
            expectThat(worse.completionMs(1, nowMs = 2_000)).isLessThan(280.0)
        }
    }

    /** Guards against pieces that wait for a worker that has stopped and always seems about to be free. */
    @Test
    fun `pieces wait for a faster worker, unless there are too many or its call is overdue`() {
        val fast = worker("x", load = load(1.0))
        val slowLoad = load(4.0)
        val workers = listOf(fast, worker("y", load = slowLoad))
        queue.add(pieces("a", 1))
        fast.onCallStarted(requireNotNull(queue.next(workers, nowMs = 0)), nowMs = 0)
        queue.add(pieces("b", 1))
        expectThat(queue.next(workers, nowMs = 50)).isNull()
        queue.add(pieces("c", 4))
        expectThat(queue.next(workers, nowMs = 50)).isNotNull()
        slowLoad.onReport(LoadReport(0, 0, 1, 4.0), nowMs = 2_000)
        expectThat(queue.next(workers, nowMs = 2_000)).isNotNull().get { worker }.isEqualTo(workers[1])
    }

    /** Guards against a herd: owners with the same old reports must not all send to the same worker. */
    @Test
    fun `owners with the same reports choose different workers among equal ones`() {
        val workers = List(6) { worker("w$it", load = load(1.0)) }
        val chosen = List(76) {
            val owner = StageQueue(limits, Random(it)).apply { add(pieces("a", 1)) }
            requireNotNull(owner.next(workers, nowMs = 100)).worker
        }
        expectThat(chosen.groupingBy { it }.eachCount().values.max()).isLessThan(26)
    }
}
