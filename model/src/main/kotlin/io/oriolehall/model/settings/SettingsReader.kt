package io.oriolehall.model.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result

/** Values of a settings file without errors. */
class SettingsValues internal constructor(
    private val values: Map<SettingKey<*>, Any>,
    private val maps: Map<SettingMap<*>, Map<*, *>>,
) {
    @Suppress("UNCHECKED_CAST")
    operator fun <T : Any> get(key: SettingKey<T>): T = values.getValue(key) as T

    @Suppress("UNCHECKED_CAST")
    operator fun <T : Any> get(map: SettingMap<T>): Map<T, T> = maps.getValue(map) as Map<T, T>
}

/** Reads the settings that [table] declares from INI text and reports all errors together. */
class SettingsReader(private val table: SettingsTable) {
    /** Reads the values in [text]. [file] is the file name for error messages. */
    fun read(file: String, text: String): Result<SettingsValues, List<SettingsError>> = Parser(file, text).result()

    private inner class Parser(private val file: String, private val text: String) {
        private val errors = mutableListOf<SettingsError>()
        private val ini = readIni(text)
        private val values = mutableMapOf<SettingKey<*>, Any>()
        private val maps = table.maps.associateWith { mutableMapOf<Any, Any>() }

        fun result(): Result<SettingsValues, List<SettingsError>> {
            checkSections()
            ini.options.groupBy { it.section to keyOf(it) }.values.forEach(::readOption)
            if (ini.badLine == null) addDefaults() else errors += SettingsError.Malformed(file, ini.badLine, badText())
            if (errors.isEmpty()) return Ok(SettingsValues(values, maps))
            return Err(errors.sortedBy { it.line ?: Int.MAX_VALUE })
        }

        private fun badText() = text.lines()[checkNotNull(ini.badLine) - 1].trim()

        private fun checkSections() {
            for ((name, occurrences) in ini.sections.groupBy(IniSection::name)) {
                val first = occurrences.first()
                if (name !in table.sections) {
                    errors += SettingsError.UnknownSection(file, first.line, name, table.sections)
                }
                occurrences.drop(1).mapTo(errors) {
                    SettingsError.DuplicateSection(file, it.line, name, first.line)
                }
            }
        }

        private fun keyOf(option: IniOption) =
            if (table.maps.any { it.section == option.section }) splitMapping(option).first else option.name

        private fun readOption(occurrences: List<IniOption>) {
            val first = occurrences.first()
            val section = first.section
            if (section == null) {
                errors += SettingsError.OutsideSection(file, first.line, first.name)
                return
            }
            if (section !in table.sections) return
            occurrences.drop(1).mapTo(errors) {
                SettingsError.DuplicateKey(file, it.line, section, keyOf(it), first.line)
            }
            val map = table.maps.firstOrNull { it.section == section }
            if (map == null) readKey(section, first) else readMapping(map, first)
        }

        private fun readKey(section: String, option: IniOption) {
            val known = table.keys.filter { it.section == section }
            val key = known.firstOrNull { it.name == option.name }
            if (key == null) {
                errors += SettingsError.UnknownKey(file, option.line, section, option.name, known.map { it.name })
                return
            }
            val value = key.type.parse(option.value.orEmpty())
            if (value == null) errors += badValue(key, option) else values[key] = value
        }

        private fun badValue(key: SettingKey<*>, option: IniOption) = SettingsError.BadValue(
            file = file,
            line = option.line,
            section = key.section,
            key = key.name,
            value = option.value.orEmpty(),
            expected = key.type.expected,
            example = key.type.example,
        )

        private fun <T : Any> readMapping(map: SettingMap<T>, option: IniOption) {
            val (fromText, toText) = splitMapping(option)
            val from = map.type.parse(fromText)
            val to = map.type.parse(toText)
            if (from != null && to != null) {
                maps.getValue(map)[from] = to
                return
            }
            errors += SettingsError.BadValue(
                file = file,
                line = option.line,
                section = map.section,
                key = fromText,
                value = toText,
                expected = "${map.type.expected} on both sides of '='",
                example = map.type.example,
            )
        }

        /** Splits the source line at `=`, since ini4j also splits at `:`, which occurs in addresses. */
        private fun splitMapping(option: IniOption): Pair<String, String> {
            val line = text.removePrefix("\uFEFF").lines()[option.line - 1]
            return line.substringBefore('=').trim() to line.substringAfter('=', "").trim()
        }

        private fun addDefaults() {
            for (key in table.keys) {
                if (key in values || errors.any { it is SettingsError.BadValue && it.isFor(key) }) continue
                val default = key.default
                if (default != null) {
                    values[key] = default
                } else {
                    errors += SettingsError.MissingKey(file, key.section, key.name, key.type.example)
                }
            }
        }

        private fun SettingsError.BadValue.isFor(key: SettingKey<*>) = section == key.section && this.key == key.name
    }
}
