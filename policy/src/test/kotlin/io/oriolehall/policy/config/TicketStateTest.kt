package io.oriolehall.policy.config

import io.oriolehall.model.AvailabilityZone
import io.oriolehall.model.EndpointId
import io.oriolehall.model.EngineAssignment
import io.oriolehall.model.ObjectKey
import io.oriolehall.model.ServiceState
import io.oriolehall.model.Ticket
import io.oriolehall.model.ZoneId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.random.Random

class TicketStateTest {
    private fun zone(name: String, state: ServiceState = ServiceState.OUT) = AvailabilityZone(ZoneId(name), state)

    private fun ticket(number: Long, vararg zones: AvailabilityZone, author: String = "ana") =
        Ticket(number, author, "test", zones.toList())

    private fun TicketState.ticketOf(zone: String) = config.objects[ObjectKey("zone", zone)]?.ticket

    private fun publishedTickets(random: Random): List<Pair<Ticket, Long>> = List(60) { index ->
        val objects = List(random.nextInt(1, 4)) { "z${random.nextInt(8)}" }.distinct().map {
            if (random.nextBoolean()) zone(it) else EngineAssignment(EndpointId(it), "m", "v${random.nextInt(3)}")
        }
        Ticket(random.nextLong(1, 40), "author${random.nextInt(3)}", "test", objects) to index + 1L
    }

    @Test
    fun `the same tickets in any order give the same state, also when they come through other instances`() {
        for (seed in 1..200) {
            val random = Random(seed)
            val tickets = publishedTickets(random)
            val expected = tickets.fold(TicketState()) { state, (t, revision) -> state.withTicket(t, revision) }
            val shuffled = tickets.shuffled(random)
            val (left, right) = shuffled.chunked(shuffled.size / 2).map { half ->
                half.fold(TicketState()) { state, (t, revision) -> state.withTicket(t, revision) }
            }
            val merged = left.merge(right.config.objects.values.shuffled(random))
            expectThat(merged).describedAs("seed $seed").isEqualTo(expected)
            expectThat(right.merge(left.config.objects.values)).describedAs("seed $seed").isEqualTo(expected)
        }
    }

    @Test
    fun `no step lowers the ticket number of any object`() {
        for (seed in 1..50) {
            val random = Random(seed)
            var state = TicketState()
            for ((ticket, revision) in publishedTickets(random).shuffled(random)) {
                val next = state.withTicket(ticket, revision)
                for ((key, version) in state.config.objects) {
                    check(next.config.objects.getValue(key).ticket >= version.ticket) {
                        "seed $seed: ticket number of $key decreased"
                    }
                }
                state = next
            }
        }
    }

    @Test
    fun `a late ticket still puts in force the objects that no higher ticket touched`() {
        val state = TicketState().withTicket(ticket(7, zone("a"))).withTicket(ticket(5, zone("a"), zone("b")))
        expectThat(state.ticketOf("a")).isEqualTo(7)
        expectThat(state.ticketOf("b")).isEqualTo(5)
    }

    @Test
    fun `of two tickets with one number the one published first is in force, and the conflict names the remedy`() {
        val first = ticket(7, zone("a", ServiceState.OUT), author = "ana")
        val second = ticket(7, zone("a", ServiceState.IN_SERVICE), author = "ion")
        val state = TicketState().withTicket(second, revision = 2).withTicket(first, revision = 1)
        expectThat(state.config.zoneState(ZoneId("a"))).isEqualTo(ServiceState.OUT)
        expectThat(state.conflictWith(second)).isNotNull().get { message }.contains("higher number")
        expectThat(state.conflictWith(first)).isNull()
    }

    @Test
    fun `changes name each object of another ticket and nothing else`() {
        val before = TicketState().withTicket(ticket(1, zone("a"), zone("b")), revision = 9)
        val after = before.withTicket(
            ticket(2, zone("a")),
            revision = 10,
        ).withTicket(ticket(1, zone("a"), zone("b")), 3)
        expectThat(after.changesSince(before)).hasSize(1).get { single().after.ticket }.isEqualTo(2)
    }

    @Test
    fun `exchange of the differing buckets alone makes two states equal`() {
        val random = Random(4)
        val common = publishedTickets(random).fold(TicketState()) { state, (t, revision) ->
            state.withTicket(t, revision)
        }
        val ahead = common.withTicket(ticket(900, zone("z1")), 100)
        expectThat(ahead.digest.combined).isNotEqualTo(common.digest.combined)
        val buckets = ahead.digest.differingBuckets(common.digest.buckets)
        expectThat(buckets).hasSize(1)
        expectThat(common.merge(ahead.objectsInBuckets(buckets))).isEqualTo(ahead)
    }

    @Test
    fun `size follows from the number of objects and not from the number of tickets`() {
        val state = (1L..5_000L).fold(TicketState()) { state, number ->
            state.withTicket(ticket(number, zone("a")), number)
        }
        expectThat(state.config.objects).hasSize(1)
    }

    private fun strikt.api.Assertion.Builder<String>.contains(text: String) =
        assert("contains \"$text\"") { if (text in it) pass() else fail(it) }
}
