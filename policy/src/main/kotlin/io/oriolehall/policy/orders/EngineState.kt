package io.oriolehall.policy.orders

import io.oriolehall.model.EngineAssignment
import io.oriolehall.model.EngineOrder
import io.oriolehall.model.LoadReport

/** What an engine serves or should serve; all properties are null while nothing is loaded. */
data class EngineState(val model: String?, val version: String?, val adapter: String?, val role: String?) {
    override fun toString(): String =
        if (model == null) "nothing loaded" else "$model/$version adapter ${adapter ?: "none"} role $role"

    companion object {
        fun of(report: LoadReport) = EngineState(report.model, report.version, report.adapter, report.role)

        fun of(wanted: EngineAssignment) = EngineState(wanted.model, wanted.version, wanted.adapter, wanted.role)
    }
}

/** The order with fencing number [number] that makes the engine serve this assignment. */
internal fun EngineAssignment.toOrder(number: FencingNumber) =
    EngineOrder(fence = number.value, model = model, version = version, adapter = adapter, role = role)
