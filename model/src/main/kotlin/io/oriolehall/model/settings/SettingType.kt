package io.oriolehall.model.settings

import io.oriolehall.model.NetworkAddress

/*
 * Types of settings. Durations and sizes require a unit, so that a number without one is an error.
 */

/**
 * Type of a setting: how its text is parsed.
 *
 * @property expected description of the valid values for error messages, such as "a duration with its unit".
 * @property example a valid value, for error messages.
 * @property parse converts the text to a value; returns null if the text is not valid.
 */
class SettingType<T>(val expected: String, val example: String, val parse: (String) -> T?)

private val NamePattern = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
private val QuantityPattern = Regex("([0-9]{1,12})\\s*([A-Za-z]+)")
private val FractionPattern = Regex("[0-9]{1,3}([.][0-9]{1,6})?")
private const val MAX_PORT = 65_535

private val MillisecondsByUnit = mapOf("ms" to 1L, "s" to 1_000L, "min" to 60_000L, "h" to 3_600_000L)
private val BytesByUnit = mapOf("B" to 1L, "KiB" to 1_024L, "MiB" to 1_048_576L)

/** A name of letters, digits, `.`, `_` and `-`. */
fun nameSetting(example: String) =
    SettingType("a name of 1 to 63 letters, digits, '.', '_' or '-'", example) { it.takeIf(NamePattern::matches) }

/** Text of at least [minimum] characters. */
fun textSetting(example: String, minimum: Int = 1) =
    SettingType("text of at least $minimum characters", example) { text -> text.takeIf { it.length >= minimum } }

/** One of [choices]. */
fun choiceSetting(vararg choices: String) =
    SettingType("one of ${choices.joinToString()}", choices.first()) { text -> text.takeIf { it in choices } }

/** A whole number in [range]. */
fun numberSetting(example: String, range: IntRange) =
    SettingType("a whole number from ${range.first} to ${range.last}", example) { text ->
        text.toIntOrNull()?.takeIf { it in range }
    }

/** A decimal fraction from 0 to [max]. */
fun fractionSetting(example: String, max: Double) = SettingType("a fraction from 0 to $max", example) { text ->
    text.takeIf(FractionPattern::matches)?.toDouble()?.takeIf { it <= max }
}

/** A duration with its unit, in milliseconds. */
fun durationSetting(example: String) =
    SettingType("a duration with its unit (${MillisecondsByUnit.keys.joinToString()})", example) {
        parseQuantity(it, MillisecondsByUnit)
    }

/** A size with its unit, in bytes. */
fun sizeSetting(example: String) =
    SettingType("a size with its unit (${BytesByUnit.keys.joinToString()})", example) { parseQuantity(it, BytesByUnit) }

/** An address to connect to. */
fun addressSetting(example: String) =
    SettingType("an IP number and a port from 1 to $MAX_PORT", example) { NetworkAddress.parse(it) }

/** An address to listen on; port 0 selects a free port. */
fun listenSetting(example: String) =
    SettingType("an IP number and a port from 0 to $MAX_PORT, where 0 takes a free one", example) { text ->
        if (text.endsWith(":0")) NetworkAddress.parse("${text}1")?.copy(port = 0) else NetworkAddress.parse(text)
    }

/** Values of [type], separated by commas. */
fun <T> listSetting(type: SettingType<T>) =
    SettingType("a list, separated by commas, of ${type.expected}", type.example) { text ->
        text.split(',').map { type.parse(it.trim()) }.takeIf { null !in it }?.filterNotNull()
    }

/** `on` or `off`. */
fun onOffSetting() = SettingType("on or off", "on") { text -> mapOf("on" to true, "off" to false)[text] }

private fun parseQuantity(text: String, units: Map<String, Long>): Long? {
    val match = QuantityPattern.matchEntire(text) ?: return null
    val (amount, unit) = match.destructured
    return units[unit]?.let { amount.toLong() * it }
}
