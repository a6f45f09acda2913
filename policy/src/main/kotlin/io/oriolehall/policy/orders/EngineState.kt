package io.oriolehall.policy.orders

import io.oriolehall.model.EngineAssignment
import io.oriolehall.model.EngineOrder
import io.oriolehall.model.LoadReport

/** What an engine serves or should serve; all are null while it has nothing loaded. */
data class EngineState(val model: String?, val version: String?, val adapter: String?, val role: String?) {
    override fun toString(): String =
        if (model == null) "nothing loaded" else "$model/$version adapter ${adapter ?: "none"} role $role"

    companion object {
        fun of(report: LoadReport) = EngineState(report.model, report.version, report.adapter, report.role)

        fun of(wanted: EngineAssignment) = EngineState(wanted.model, wanted.version, wanted.adapter, wanted.role)
    }
}

/** The order that makes an engine serve what [this] assigns. */
internal fun EngineAssignment.order(number: FencingNumber) =
    EngineOrder(fence = number.value, model = model, version = version, adapter = adapter, role = role)
