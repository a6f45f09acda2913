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
    /** The settings in the file at [path], or everything that is wrong with it. */
    fun read(path: Path): Result<EntrySettings, List<SettingsError>> {
        val text = try {
            Files.readString(path)
        } catch (e: IOException) {
            return Err(listOf(SettingsError.Unreadable(path.toString(), e.toString())))
        }
        return parse(path.toString(), text)
    }

    /** The settings in [text]; [file] is its name in error messages. */
    fun parse(file: String, text: String): Result<EntrySettings, List<SettingsError>> =
        SettingsReader(EntryKeys).read(file, text).map(::entrySettings)

    private fun entrySettings(values: SettingsValues) = EntrySettings(
        instance = InstanceSettings(InstanceId(values[EntryKeys.id]), ZoneId(values[EntryKeys.zone])),
        listen = ListenSettings(
            callers = values[EntryKeys.callers],
            operators = values[EntryKeys.operators],
            peers = values[EntryKeys.peers],
        ),
        platform = PlatformSettings(
            configuration = values[EntryKeys.configuration],
            instances = values[EntryKeys.instances],
        ),
        tokens = TokenSettings(values[EntryKeys.secret]),
        keys = KeySettings(values[EntryKeys.keyLifetime], values[EntryKeys.clockTolerance]),
        policy = PolicySettings(
            endpointChoice = values[EntryKeys.endpointChoice],
            limits = values[EntryKeys.limits],
            admission = values[EntryKeys.admission],
            endpointSubset = values[EntryKeys.endpointSubset],
        ),
        translate = values[EntryKeys.translate],
        peers = PeerSettings(values[EntryKeys.contacts], values[EntryKeys.exchange]),
        stop = StopSettings(values[EntryKeys.keepServing], values[EntryKeys.stopWait]),
        orders = OrderSettings(values[EntryKeys.loadsAtOnce], values[EntryKeys.longestLoad]),
    )
}
