package io.oriolehall.harness.capacity

import kotlinx.serialization.Serializable
import kotlin.math.abs

/** One measured value at one size. */
@Serializable
data class Point(val size: Int, val value: Double)

/**
 * Straight line through measured points.
 *
 * @property residual largest distance of a point from the line, as a share of the largest value.
 */
@Serializable
data class Fit(val intercept: Double, val slope: Double, val residual: Double) {
    fun at(size: Int): Double = intercept + slope * size

    companion object {
        /** The line of least squares. */
        fun of(points: List<Point>): Fit {
            val meanX = points.map { it.size }.average()
            val meanY = points.map { it.value }.average()
            val slope = points.sumOf { (it.size - meanX) * (it.value - meanY) } /
                points.sumOf { (it.size - meanX) * (it.size - meanX) }
            val intercept = meanY - slope * meanX
            val largest = points.maxOf { abs(it.value) }.coerceAtLeast(Double.MIN_VALUE)
            val residual = points.maxOf { abs(it.value - intercept - slope * it.size) } / largest
            return Fit(intercept, slope, residual)
        }
    }
}

/**
 * What one mechanism needs as one variable grows.
 *
 * @property variable what the sizes count.
 * @property unit unit of the values, per node.
 */
@Serializable
data class Series(
    val mechanism: String,
    val quantity: String,
    val variable: String,
    val unit: String,
    val points: List<Point>,
    val fit: Fit = Fit.of(points),
)

/** All series of one run. */
@Serializable
data class CapacityRun(
    val command: String,
    val commit: String,
    val date: String,
    val java: String,
    val processors: Int,
    val series: List<Series>,
)
