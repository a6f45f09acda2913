package io.oriolehall.model.settings

private const val MIN_SECRET_CHARS = 16
private const val MAX_LOADS = 1_000
private const val MAX_ENDPOINTS = 1_000

/** Keys of an entry instance's settings file. New settings are declared here and read in [EntrySettingsFile]. */
object EntrySettingKeys : SettingsTable() {
    val id = required("instance", "id", nameSetting("entry-1"))
    val zone = required("instance", "zone", nameSetting("zone-a"))

    val callers = required("listen", "callers", listenSetting("10.0.0.5:8080"))
    val operators = required("listen", "operators", listenSetting("10.0.0.5:8081"))
    val peers = required("listen", "peers", listenSetting("10.0.0.5:8082"))

    val configuration = required("platform", "configuration", addressSetting("10.0.0.2:9000"))
    val instances = required("platform", "instances", addressSetting("10.0.0.2:9000"))

    val secret = required("tokens", "secret", textSetting("a text that no caller can guess", MIN_SECRET_CHARS))

    val keyLifetime = optional("keys", "lifetime", durationSetting("10min"), default = KeySettings().lifetimeMs)
    val clockTolerance =
        optional("keys", "clock-tolerance", durationSetting("5s"), default = KeySettings().clockToleranceMs)

    val endpointChoice = optional(
        "policy",
        "endpoint-choice",
        choiceSetting("least-outstanding", "round-robin", "power-of-two", "prefix-affinity"),
        default = PolicySettings().endpointChoice,
    )

    val contacts = optional("peers", "contacts", listSetting(addressSetting("10.0.0.6:8082")), PeerSettings().contacts)
    val exchange = optional("peers", "exchange", onOffSetting(), PeerSettings().exchange)

    val keepServing = optional("stop", "keep-serving", durationSetting("3 s"), StopSettings().keepServingMs)
    val stopWait = optional("stop", "wait", durationSetting("30 s"), StopSettings().waitMs)

    val limits = optional(
        "policy",
        "limits",
        choiceSetting("leases", "equal-split", "none"),
        default = PolicySettings().limits,
    )

    val endpointSubset =
        optional("policy", "endpoint-subset", numberSetting("4", 1..MAX_ENDPOINTS), PolicySettings().endpointSubset)

    val admission = optional(
        "policy",
        "admission",
        choiceSetting("deadline", "none"),
        default = PolicySettings().admission,
    )

    val loadsAtOnce =
        optional("orders", "loads-at-once", numberSetting("2", 1..MAX_LOADS), default = OrderSettings().loadsAtOnce)
    val longestLoad =
        optional("orders", "longest-load", durationSetting("60 s"), default = OrderSettings().longestLoadMs)

    /** Maps published addresses to the addresses to connect to instead. */
    val translate = map("translate", addressSetting("10.0.1.7:9001 = 10.0.9.1:20001"))
}
