package io.oriolehall.standins.endpoint

import io.oriolehall.model.EndpointId
import io.oriolehall.model.StageKind
import io.oriolehall.model.ZoneId

/** What an endpoint does with a call beyond what it bears now. */
enum class OverloadReaction {
    /** It takes the call; all calls get slower. */
    BEAR,

    /** It answers 429 before it runs anything. */
    DECLINE,

    /** While cold it fails the call with 500; warm it bears it. */
    FAIL,

    /** While cold the process ends; warm it bears it. */
    EXIT,
}

/**
 * How an endpoint behaves for its whole life.
 *
 * @property serviceMs time of one call on a warm endpoint, for engines until the first token; milliseconds.
 * @property coldMs time until the endpoint is warm, milliseconds.
 * @property coldFactor how many times slower a cold endpoint is.
 * @property tokensPerSecond tokens a second of one stream.
 * @property loadLagMs age that a load report may have, milliseconds.
 * @property crashProbability share of calls that end the process.
 * @property crashOn text whose presence in a call's input ends the process.
 */
data class EndpointOptions(
    val id: EndpointId,
    val zone: ZoneId,
    val kind: StageKind,
    val dataSet: String = "kimono",
    val serviceMs: Long = 5,
    val coldLimit: Int = 2,
    val warmLimit: Int = 16,
    val coldMs: Long = 3_000,
    val coldFactor: Double = 3.0,
    val tokensPerSecond: Double = 40.0,
    val overload: OverloadReaction = OverloadReaction.BEAR,
    val loadLagMs: Long = 500,
    val fenced: Boolean = false,
    val orderMs: Long = 200,
    val crashProbability: Double = 0.0,
    val crashOn: String? = null,
)
