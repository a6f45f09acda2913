package io.oriolehall.harness.experiment

import kotlin.math.PI
import kotlin.math.cos
import kotlin.math.ln
import kotlin.math.sin
import kotlin.random.Random

/** How often requests arrive over time; times in milliseconds from the start, rates in requests per second. */
sealed interface ArrivalProfile {
    /** Highest rate at any time. */
    val peak: Double

    /** Rate at [atMs]. */
    fun rate(atMs: Long): Double

    /** The same rate all the time. */
    data class Steady(val perSecond: Double) : ArrivalProfile {
        override val peak get() = perSecond

        override fun rate(atMs: Long) = perSecond
    }

    /** A steady rate that is [factor] times higher for a while. */
    data class Burst(val perSecond: Double, val factor: Double, val fromMs: Long, val lengthMs: Long) : ArrivalProfile {
        override val peak get() = perSecond * factor

        override fun rate(atMs: Long) = if (atMs in fromMs until fromMs + lengthMs) peak else perSecond
    }

    /** Days of an exhibition, each of [dayMs]: nothing at night, the most at noon, every day busier than the last. */
    data class ExhibitionWeek(val perSecond: Double, val dayMs: Long, val days: Int = 7) : ArrivalProfile {
        override val peak get() = perSecond

        override fun rate(atMs: Long): Double {
            val day = (atMs / dayMs).coerceAtMost(days - 1L)
            val daylight = sin(PI * (atMs % dayMs) / dayMs)
            return perSecond * daylight * (day + 1) / days
        }
    }

    /** A market day: a rush at the opening and one at the close of the [dayMs], half the rate between them. */
    data class MarketDay(val perSecond: Double, val dayMs: Long) : ArrivalProfile {
        override val peak get() = perSecond

        override fun rate(atMs: Long) = perSecond * (THREE_QUARTERS + cos(RUSHES * PI * atMs / dayMs) / RUSH_DEPTH)
    }

    private companion object {
        const val THREE_QUARTERS = 0.75
        const val RUSHES = 2
        const val RUSH_DEPTH = 4
    }
}

/** Arrival times of a Poisson process with this profile up to [durationMs], the same ones for the same [random]. */
fun ArrivalProfile.arrivals(durationMs: Long, random: Random): List<Long> = buildList {
    var atMs = 0.0
    while (true) {
        atMs += -ln(1.0 - random.nextDouble()) / peak * MS_PER_SECOND
        if (atMs >= durationMs) break
        if (random.nextDouble() * peak < rate(atMs.toLong())) add(atMs.toLong())
    }
}

private const val MS_PER_SECOND = 1_000.0
