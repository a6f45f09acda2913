package io.oriolehall.model.settings

/*
 * Tables of the keys that a settings file may have. A program declares its table as an object with one property a key:
 *
 *     object CacheKeys : SettingsTable() {
 *         val size = required("cache", "size", sizeSetting("4 MiB"))
 *         val maxAge = optional("cache", "max-age", durationSetting("30 s"), default = 30_000)
 *     }
 */

/**
 * A key of a section.
 *
 * @property default value when the key is missing; null makes it required.
 */
class SettingKey<T : Any> internal constructor(
    val section: String,
    val name: String,
    val type: SettingType<T>,
    val default: T?,
)

/** A section whose lines map one value to another, in the form `from = to`. */
class SettingMap<T : Any> internal constructor(val section: String, val type: SettingType<T>)

/** The sections and keys that a settings file may have. */
abstract class SettingsTable {
    private val declaredKeys = mutableListOf<SettingKey<*>>()
    private val declaredMaps = mutableListOf<SettingMap<*>>()

    /** All keys in the order of their declaration. */
    val keys: List<SettingKey<*>> get() = declaredKeys

    /** All sections that map values. */
    val maps: List<SettingMap<*>> get() = declaredMaps

    /** Names of all sections. */
    val sections: Set<String> get() = (keys.map { it.section } + maps.map { it.section }).toSet()

    protected fun <T : Any> required(section: String, name: String, type: SettingType<T>): SettingKey<T> =
        SettingKey(section, name, type, default = null).also(declaredKeys::add)

    protected fun <T : Any> optional(
        section: String,
        name: String,
        type: SettingType<T>,
        default: T,
    ): SettingKey<T> = SettingKey(section, name, type, default).also(declaredKeys::add)

    protected fun <T : Any> map(section: String, type: SettingType<T>): SettingMap<T> =
        SettingMap(section, type).also(declaredMaps::add)
}
