package io.oriolehall.model.settings

/*
 * Declarations of the keys of a settings file. A program declares them in an object with one property per key:
 *
 *     object CacheKeys : SettingsTable() {
 *         val size = required("cache", "size", sizeSetting("4 MiB"))
 *         val maxAge = optional("cache", "max-age", durationSetting("30 s"), default = 30_000)
 *     }
 */

/**
 * A key of a section.
 *
 * @property default value if the key is missing; null if the key is required.
 */
class SettingKey<T : Any> internal constructor(
    val section: String,
    val name: String,
    val type: SettingType<T>,
    val default: T?,
)

/** A section whose lines map values to values of the same type, in the form `from = to`. */
class SettingMap<T : Any> internal constructor(val section: String, val type: SettingType<T>)

/** The sections and keys that a settings file may have. */
abstract class SettingsTable {
    private val declaredKeys = mutableListOf<SettingKey<*>>()
    private val declaredMaps = mutableListOf<SettingMap<*>>()

    /** All keys, in the order of their declaration. */
    val keys: List<SettingKey<*>> get() = declaredKeys

    /** All sections that contain mappings. */
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
