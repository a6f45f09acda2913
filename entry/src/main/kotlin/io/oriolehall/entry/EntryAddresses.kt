package io.oriolehall.entry

import io.oriolehall.model.NetworkAddress

/** Addresses at which an instance listens once it has started. */
data class EntryAddresses(val callers: NetworkAddress, val operators: NetworkAddress, val peers: NetworkAddress)
