package io.oriolehall.dispatch.endpoints

/** What became of an entry of the store. */
enum class RegistrationResult {
    REGISTERED,

    /** It may have been written before what is known. It takes effect if it outlasts the lifetime of an entry. */
    DEFERRED,

    /** It was written before what is known. */
    OUTDATED,
}
