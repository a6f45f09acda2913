package io.oriolehall.policy.orders

import io.oriolehall.model.EngineAssignment
import io.oriolehall.model.EngineOrder
import io.oriolehall.model.LoadReport

/** What an engine's orderer does after it has read the engine's report. */
sealed interface OrderDecision {
    /** The engine serves what its ticket says. */
    data object InForce : OrderDecision

    /** The engine carries out an order. */
    data object Busy : OrderDecision

    /** The engine has obeyed [ticket], which is higher than the one known here; this instance must not order. */
    data class Behind(val ticket: Long) : OrderDecision

    /**
     * [order] is to be sent.
     *
     * @property loads false when the engine has the state already and only learns the number, so that it refuses
     *   orders of lower tickets.
     * @property corrects true when the engine has had an order for this ticket and serves something else all the same.
     */
    data class Send(val order: EngineOrder, val loads: Boolean, val corrects: Boolean) : OrderDecision
}

/** Decides on orders from the ticket in force and the engine's own report, which is the register of past orders. */
object OrderPolicy {
    /**
     * @param wanted the assignment in force, set by ticket number [ticket].
     * @param fenced true when the engine refuses old fencing numbers.
     */
    fun decide(wanted: EngineAssignment, ticket: Long, fenced: Boolean, report: LoadReport): OrderDecision {
        val last = FencingNumber(report.orderFence)
        val differs = EngineState.of(report) != EngineState.of(wanted)
        val learnsNumber = fenced && last.ticket < ticket
        if (report.ordering) return OrderDecision.Busy
        val number = FencingNumber.next(ticket, last) ?: return OrderDecision.Behind(last.ticket)
        if (!differs && !learnsNumber) return OrderDecision.InForce
        return OrderDecision.Send(wanted.order(number), loads = differs, corrects = last.ticket == ticket)
    }
}
