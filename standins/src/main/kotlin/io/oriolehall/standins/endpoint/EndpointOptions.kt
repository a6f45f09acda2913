package io.oriolehall.standins.endpoint

import io.oriolehall.model.EndpointId
import io.oriolehall.model.NetworkAddress
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
 * @property warmAfterCalls ended calls after which it is warm before that time; 0 for never.
 * @property tokensPerSecond tokens a second of one stream.
 * @property batchSize streams that an engine generates at once; more wait by priority.
 * @property cacheTokens tokens that an engine's prefix cache holds.
 * @property eventLagMs age of cache events when they are published, milliseconds.
 * @property eventGap share of cache events that are lost.
 * @property loadLagMs age that a load report may have, milliseconds.
 * @property orderMs time to carry out an order once its weights are there, milliseconds.
 * @property weights where an engine fetches the weights that an order names, or null for nowhere.
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
    val warmAfterCalls: Int = 0,
    val coldFactor: Double = 3.0,
    val tokensPerSecond: Double = 40.0,
    val batchSize: Int = 32,
    val cacheTokens: Int = 16_384,
    val eventLagMs: Long = 500,
    val eventGap: Double = 0.05,
    val overload: OverloadReaction = OverloadReaction.BEAR,
    val loadLagMs: Long = 500,
    val fenced: Boolean = false,
    val orderMs: Long = 200,
    val weights: NetworkAddress? = null,
    val crashProbability: Double = 0.0,
    val crashOn: String? = null,
)
