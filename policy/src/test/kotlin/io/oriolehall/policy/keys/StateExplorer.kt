package io.oriolehall.policy.keys

/** Result of an exploration: the number of distinct states, and the first state that breaks a rule, or null. */
internal data class Exploration(val states: Int, val violation: String?)

/** Visits every reachable state once, in depth-first order. */
internal class StateExplorer(private val model: KeyModel) {
    fun explore(): Exploration {
        val initial = model.initial()
        val visited = hashSetOf(initial)
        val open = ArrayDeque(visited)
        while (open.isNotEmpty()) {
            val state = open.removeLast()
            state.violation()?.let { return Exploration(visited.size, "$it: $state") }
            for (successor in model.successors(state)) {
                if (visited.add(successor)) open.add(successor)
            }
        }
        return Exploration(visited.size, null)
    }
}
