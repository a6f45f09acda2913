package io.oriolehall.policy.keys

/** Result of an exploration: the number of distinct states, and the first state found that breaks a rule. */
internal data class Exploration(val states: Int, val violation: String?)

/** Visits every state that can be reached, depth first, each once. */
internal class StateExplorer(private val worlds: KeyWorlds) {
    fun explore(): Exploration {
        val first = worlds.initial()
        val seen = hashSetOf(first)
        val open = ArrayDeque(seen)
        while (open.isNotEmpty()) {
            val world = open.removeLast()
            world.violation()?.let { return Exploration(seen.size, "$it: $world") }
            for (next in worlds.next(world)) {
                if (seen.add(next)) open.add(next)
            }
        }
        return Exploration(seen.size, null)
    }
}
