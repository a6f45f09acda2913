package io.oriolehall.cli

/** Exit codes of the command besides 0. */
internal object ExitCode {
    /** Wrong usage, settings or ticket. */
    const val BAD_INPUT = 1

    /** The request was refused, or its answer did not arrive whole. */
    const val NOT_SERVED = 2

    /** The instance cannot be reached. */
    const val UNREACHABLE = 3
}
