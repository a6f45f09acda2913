package io.oriolehall.model.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import io.oriolehall.model.InstanceId
import io.oriolehall.model.ZoneId
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** The settings file of an entry instance. docs/operators/SETTINGS.md lists its keys. */
object EntrySettingsFile {
    /** Reads the settings in the file at [path]; returns all errors if it is not valid. */
    fun read(path: Path): Result<EntrySettings, List<SettingsError>> {
        val text = try {
            Files.readString(path)
        } catch (e: IOException) {
            return Err(listOf(SettingsError.Unreadable(path.toString(), e.toString())))
        }
        return parse(path.toString(), text)
    }

    /** Parses the settings in [text]. [file] is the file name for error messages. */
    fun parse(file: String, text: String): Result<EntrySettings, List<SettingsError>> =
        SettingsReader(EntrySettingKeys).read(file, text).map(::entrySettings)

    private fun entrySettings(values: SettingsValues) = EntrySettings(
        instance = InstanceSettings(InstanceId(values[EntrySettingKeys.id]), ZoneId(values[EntrySettingKeys.zone])),
        listen = ListenSettings(
            callers = values[EntrySettingKeys.callers],
            operators = values[EntrySettingKeys.operators],
            peers = values[EntrySettingKeys.peers],
        ),
        platform = PlatformSettings(
            configuration = values[EntrySettingKeys.configuration],
            instances = values[EntrySettingKeys.instances],
        ),
        tokens = TokenSettings(values[EntrySettingKeys.secret]),
        keys = KeySettings(values[EntrySettingKeys.keyLifetime], values[EntrySettingKeys.clockTolerance]),
        policy = PolicySettings(
            endpointChoice = values[EntrySettingKeys.endpointChoice],
            limits = values[EntrySettingKeys.limits],
            admission = values[EntrySettingKeys.admission],
            endpointSubset = values[EntrySettingKeys.endpointSubset],
        ),
        translate = values[EntrySettingKeys.translate],
        peers = PeerSettings(values[EntrySettingKeys.contacts], values[EntrySettingKeys.exchange]),
        stop = StopSettings(values[EntrySettingKeys.keepServing], values[EntrySettingKeys.stopWait]),
        orders = OrderSettings(values[EntrySettingKeys.loadsAtOnce], values[EntrySettingKeys.longestLoad]),
    )
}
