package io.oriolehall.cli

/** Exit codes of the command for failures; 0 is success. */
internal object ExitCode {
    /** Invalid usage, settings, ticket or other input. */
    const val BAD_INPUT = 1

    /** The request was refused, or its answer is incomplete. */
    const val NOT_SERVED = 2

    /** The instance cannot be reached. */
    const val UNREACHABLE = 3
}
