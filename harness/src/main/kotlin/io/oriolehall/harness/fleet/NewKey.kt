package io.oriolehall.harness.fleet

import java.util.UUID
import kotlin.random.Random

private const val TIME_SHIFT = 16
private const val VERSION_7 = 0x7000L
private const val VARIANT = Long.MIN_VALUE
private const val LOW_12_BITS = 0xFFFL
private const val LOW_62_BITS = 0x3FFF_FFFF_FFFF_FFFFL

/** An idempotency key as callers make them: a UUID of version 7, born at [bornAtMs] milliseconds since the epoch. */
fun newKey(bornAtMs: Long = System.currentTimeMillis(), random: Random = Random.Default): String {
    val high = (bornAtMs shl TIME_SHIFT) or VERSION_7 or (random.nextLong() and LOW_12_BITS)
    val low = VARIANT or (random.nextLong() and LOW_62_BITS)
    return UUID(high, low).toString()
}
