package io.oriolehall.harness.experiment

/** Answers in time per second over the run, one line per variant, averaged over the seeds, as SVG. */
object PlotSvg {
    private const val WIDTH = 720
    private const val HEIGHT = 320
    private const val MARGIN = 48
    private const val LABEL_HEIGHT = 18
    private val Colours = listOf("#1b6ca8", "#c8553d", "#588157", "#8e6c8a")

    /** The plot of [runs], all of one scenario. */
    fun of(runs: List<RunResult>): String {
        val curves = runs.groupBy(RunResult::variant).mapValues { (_, all) -> mean(all) }
        val highest = curves.values.flatten().maxOrNull()?.coerceAtLeast(1.0) ?: 1.0
        val lines = curves.entries.mapIndexed { index, (name, curve) ->
            val colour = Colours[index % Colours.size]
            val y = MARGIN + LABEL_HEIGHT * index
            polyline(curve, highest, colour) +
                "\n<text x=\"${WIDTH - MARGIN * 2}\" y=\"$y\" fill=\"$colour\">$name</text>"
        }
        return """
            <svg xmlns="http://www.w3.org/2000/svg" width="$WIDTH" height="$HEIGHT" font-family="sans-serif" font-size="12">
            <rect width="$WIDTH" height="$HEIGHT" fill="white"/>
            <text x="$MARGIN" y="20">${runs.first().scenario}: answers in time per second (top: ${highest.toInt()})</text>
            <path d="M$MARGIN $MARGIN V${HEIGHT - MARGIN} H${WIDTH - MARGIN}" fill="none" stroke="black"/>
            <text x="$MARGIN" y="${HEIGHT - MARGIN + LABEL_HEIGHT}">0 s</text>
            <text x="${WIDTH - MARGIN}" y="${HEIGHT - MARGIN + LABEL_HEIGHT}">${runs.first().inTimePerSecond.size} s</text>
        """.trimIndent() + "\n" + lines.joinToString("\n") + "\n</svg>\n"
    }

    private fun mean(runs: List<RunResult>): List<Double> = runs.first().inTimePerSecond.indices.map { second ->
        runs.map { it.inTimePerSecond[second] }.average()
    }

    private fun polyline(curve: List<Double>, highest: Double, colour: String): String {
        val points = curve.mapIndexed { index, value ->
            val x = MARGIN + index * (WIDTH - 2 * MARGIN) / maxOf(1, curve.size - 1)
            val y = HEIGHT - MARGIN - (value / highest * (HEIGHT - 2 * MARGIN)).toInt()
            "$x,$y"
        }
        return "<polyline points=\"${points.joinToString(" ")}\" fill=\"none\" stroke=\"$colour\" stroke-width=\"2\"/>"
    }
}
