package io.oriolehall.policy.orders

import io.oriolehall.model.EndpointId
import io.oriolehall.model.EngineAssignment
import io.oriolehall.model.EngineOrder
import io.oriolehall.model.LoadReport
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.random.Random

class OrderPolicyTest {
    private fun assignment(ticket: Long) = EngineAssignment(EndpointId("gen"), "oak", "v$ticket")

    private fun report(served: EngineAssignment? = null, fence: Long = 0, ordering: Boolean = false) = LoadReport(
        running = 0,
        queued = 0,
        limit = 16,
        warm = true,
        startedAtMs = 0,
        model = served?.model,
        version = served?.version,
        adapter = served?.adapter,
        role = served?.role,
        orderFence = fence,
        ordering = ordering,
    )

    private fun fencingNumber(ticket: Long, last: Long = 0) =
        checkNotNull(FencingNumber.next(ticket, FencingNumber(last))).value

    private fun decideSend(wanted: EngineAssignment, ticket: Long, report: LoadReport, fenced: Boolean = true) =
        OrderPolicy.decide(wanted, ticket, fenced, report) as? OrderDecision.Send

    @Test
    fun `a number never goes back and names its ticket`() {
        val first = fencingNumber(ticket = 7)
        val second = fencingNumber(ticket = 7, last = first)
        val highest = fencingNumber(ticket = 1_000_000_000_000, last = second)
        expectThat(second).isGreaterThan(first)
        expectThat(highest).isGreaterThan(second)
        expectThat(FencingNumber(highest).ticket).isEqualTo(1_000_000_000_000)
        expectThat(FencingNumber.next(7, FencingNumber(highest))).isNull()
    }

    @Test
    fun `an engine that has obeyed a higher ticket is not ordered`() {
        val decision = OrderPolicy.decide(assignment(6), 6, fenced = false, report(assignment(7), fencingNumber(7)))
        expectThat(decision).isEqualTo(OrderDecision.OutdatedTicket(7))
    }

    @Test
    fun `an engine that carries out an order is left alone`() {
        val decision = OrderPolicy
            .decide(assignment(7), 7, fenced = true, report(assignment(6), fencingNumber(6), ordering = true))
        expectThat(decision).isA<OrderDecision.Busy>()
    }

    @Test
    fun `a fenced engine in the state of a newer ticket learns its number without a load`() {
        expectThat(decideSend(assignment(5), 9, report(assignment(5), fencingNumber(5)))).isNotNull().and {
            get { requiresLoad }.isFalse()
            get { FencingNumber(order.fence).ticket }.isEqualTo(9)
        }
        expectThat(decideSend(assignment(5), 9, report(assignment(5), fencingNumber(5)), fenced = false)).isNull()
    }

    @Test
    fun `a state that left its ticket is corrected under a higher number`() {
        val last = fencingNumber(7)
        expectThat(decideSend(assignment(7), 7, report(assignment(6), last), fenced = false)).isNotNull().and {
            get { isCorrection }.isTrue()
            get { order.fence }.isGreaterThan(last)
        }
    }

    /** A fenced or unfenced engine. Orders reach it complete, but may be delayed and reordered. */
    private class Engine(val fenced: Boolean) {
        var served: EngineOrder? = null
        var fence = 0L

        fun receive(order: EngineOrder) {
            if (fenced && order.fence < fence) return
            served = order
            fence = maxOf(fence, order.fence)
        }
    }

    private fun reportOf(engine: Engine) = report(
        served = engine.served?.let { EngineAssignment(EndpointId("gen"), it.model, it.version) },
        fence = engine.fence,
    )

    @ParameterizedTest
    @ValueSource(booleans = [true, false])
    fun `late orders in any order leave the highest ticket in force`(fenced: Boolean) {
        repeat(SEEDS) { seed ->
            val random = Random(seed)
            val engine = Engine(fenced)
            val delayed = mutableListOf<EngineOrder>()
            var highest = 1L
            repeat(STEPS) {
                val before = engine.ticket()
                when (random.nextInt(4)) {
                    0 -> highest++

                    1 -> if (delayed.isNotEmpty()) engine.receive(delayed.removeAt(random.nextInt(delayed.size)))

                    2 -> {
                        val knownTicket = random.nextLong(1, highest + 1)
                        decideSend(assignment(knownTicket), knownTicket, reportOf(engine), fenced)
                            ?.let { delayed += it.order }
                    }

                    else ->
                        decideSend(assignment(highest), highest, reportOf(engine), fenced)
                            ?.let { engine.receive(it.order) }
                }
                if (fenced) expectThat(engine.ticket()).isGreaterThanOrEqualTo(before)
            }
            delayed.shuffled(random).forEach(engine::receive)
            decideSend(assignment(highest), highest, reportOf(engine), fenced)?.let { engine.receive(it.order) }
            expectThat(engine.served?.version).describedAs("seed $seed").isEqualTo("v$highest")
        }
    }

    private fun Engine.ticket() = served?.let { FencingNumber(it.fence).ticket } ?: 0

    private companion object {
        const val SEEDS = 200
        const val STEPS = 80
    }
}
