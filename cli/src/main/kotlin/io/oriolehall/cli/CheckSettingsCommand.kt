package io.oriolehall.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.types.path

/** Validates the settings file of an entry instance. */
internal class CheckSettingsCommand : CliktCommand(name = "settings") {
    private val file by argument(help = "INI file of an entry instance").path()

    override fun help(context: Context) = "Checks the settings file of an entry instance."

    override fun run() {
        val settings = readSettings(file)
        echo("$file: settings of instance ${settings.instance.id} in zone ${settings.instance.zone} are correct")
    }
}
