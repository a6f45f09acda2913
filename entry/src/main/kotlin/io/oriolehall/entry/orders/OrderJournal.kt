package io.oriolehall.entry.orders

import io.oriolehall.model.Endpoint
import io.oriolehall.model.EngineAssignment
import io.oriolehall.model.EngineOrder
import io.oriolehall.policy.config.VersionedObject
import io.oriolehall.policy.orders.EngineState
import io.oriolehall.policy.orders.FencingNumber
import io.oriolehall.policy.orders.OrderDecision
import io.oriolehall.runtime.AuditTrail
import io.oriolehall.runtime.Event
import io.oriolehall.runtime.EventLog

/** An engine and the version of its assignment that is in force. */
internal class AssignedEngine(val engine: Endpoint, val version: VersionedObject) {
    val wanted get() = version.state as EngineAssignment
}

/** Writes what becomes of orders to the log and, where they changed an engine, to the audit trail. */
internal class OrderJournal(private val audit: AuditTrail, private val log: EventLog) {
    fun ahead(target: AssignedEngine, engineTicket: Long) = log.write(
        Event.ENGINE_AHEAD,
        "endpoint" to target.engine.id,
        "ticket" to target.version.ticket,
        "engineTicket" to engineTicket,
    )

    fun sent(target: AssignedEngine, decision: OrderDecision.Send) = log.write(
        if (decision.isCorrection) Event.ORDER_CORRECTS else Event.ORDER_SENT,
        "endpoint" to target.engine.id,
        "ticket" to target.version.ticket,
        "fence" to FencingNumber(decision.order.fence),
        "order" to EngineState.of(target.wanted),
    )

    /** Notes how [order] ended; the engine served [before] when it was sent. */
    fun ended(target: AssignedEngine, order: EngineOrder, before: EngineState, outcome: OrderOutcome) {
        val id = target.engine.id
        val number = FencingNumber(order.fence)
        when (outcome) {
            OrderOutcome.CarriedOut -> {
                log.write(Event.ORDER_CARRIED_OUT, "endpoint" to id, "fence" to number)
                record(target, number, before)
            }

            is OrderOutcome.Refused -> {
                val held = FencingNumber(outcome.fence)
                log.write(Event.ORDER_REFUSED, "endpoint" to id, "fence" to number, "engineFence" to held)
            }

            is OrderOutcome.Unknown -> {
                val reason = outcome.reason
                log.write(Event.ORDER_OUTCOME_UNKNOWN, "endpoint" to id, "fence" to number, "reason" to reason)
            }
        }
    }

    private fun record(target: AssignedEngine, number: FencingNumber, before: EngineState) = audit.record(
        actor = target.version.author,
        subject = target.wanted.key.toString(),
        cause = "${target.version.cause} (order $number)",
        ticket = target.version.ticket,
        before = before.toString(),
        after = EngineState.of(target.wanted).toString(),
    )
}
