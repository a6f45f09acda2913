package io.oriolehall.policy.orders

import io.oriolehall.model.EngineAssignment
import io.oriolehall.model.EngineOrder
import io.oriolehall.model.LoadReport

/** What the instance that orders an engine does after it has read the engine's load report. */
sealed interface OrderDecision {
    /** The engine serves what its ticket assigns. */
    data object InForce : OrderDecision

    /** The engine is carrying out an order. */
    data object Busy : OrderDecision

    /** The engine has executed [ticket], higher than the ticket in force here; this instance must not send an order. */
    data class OutdatedTicket(val ticket: Long) : OrderDecision

    /**
     * [order] must be sent.
     *
     * @property requiresLoad false if the engine already serves the assignment and only needs the new fencing number,
     *   so that it rejects orders of lower tickets.
     * @property isCorrection true if the engine has already received an order for this ticket but serves something
     *   else.
     */
    data class Send(val order: EngineOrder, val requiresLoad: Boolean, val isCorrection: Boolean) : OrderDecision
}

/** Decides on orders from the ticket in force and the engine's load report, which is the record of past orders. */
object OrderPolicy {
    /**
     * Returns what to do about an engine whose newest load report is [report].
     *
     * @param wanted the assignment in force, set by the ticket with number [ticket].
     * @param fenced true if the engine rejects orders with lower fencing numbers.
     */
    fun decide(wanted: EngineAssignment, ticket: Long, fenced: Boolean, report: LoadReport): OrderDecision {
        val last = FencingNumber(report.orderFence)
        val differs = EngineState.of(report) != EngineState.of(wanted)
        val needsNewNumber = fenced && last.ticket < ticket
        if (report.ordering) return OrderDecision.Busy
        val number = FencingNumber.next(ticket, last) ?: return OrderDecision.OutdatedTicket(last.ticket)
        if (!differs && !needsNewNumber) return OrderDecision.InForce
        return OrderDecision.Send(wanted.toOrder(number), requiresLoad = differs, isCorrection = last.ticket == ticket)
    }
}
