package io.oriolehall.harness.fleet

import io.oriolehall.model.NetworkAddress

/** Text of an entry instance's settings file. */
internal class EntrySettingsText(
    private val entry: EntrySpec,
    private val ports: EntryPorts,
    private val platform: NetworkAddress,
    private val extra: List<SettingsLine>,
    private val translate: Map<NetworkAddress, NetworkAddress>,
) {
    fun render(): String = sections().entries.joinToString("\n") { (section, lines) ->
        "[$section]\n" + lines.joinToString("") { "${it.key} = ${it.value}\n" }
    }

    private fun sections() = (standard() + extra + translated()).groupBy(SettingsLine::section)

    private fun standard() = listOf(
        SettingsLine("instance", "id", entry.id.value),
        SettingsLine("instance", "zone", entry.zone.value),
        SettingsLine("listen", "callers", ports.callers.toString()),
        SettingsLine("listen", "operators", ports.operators.toString()),
        SettingsLine("listen", "peers", ports.peers.toString()),
        SettingsLine("platform", "configuration", platform.toString()),
        SettingsLine("platform", "instances", platform.toString()),
        SettingsLine("tokens", "secret", TOKEN_SECRET),
        SettingsLine("keys", "clock-tolerance", CLOCK_TOLERANCE),
    )

    private fun translated() =
        translate.map { (published, dialled) -> SettingsLine("translate", published.toString(), dialled.toString()) }

    private companion object {
        /** All processes share one machine's clock, and a witness vouches for keys from twice this time. */
        const val CLOCK_TOLERANCE = "200ms"
        const val TOKEN_SECRET = "only for tests and the demo"
    }
}
