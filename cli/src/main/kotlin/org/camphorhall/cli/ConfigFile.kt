package org.camphorhall.cli

import kotlinx.serialization.Serializable

/** Input file of `config diff`. It accepts the output of `config show --output json`; versions are ignored. */
@Serializable
internal data class ConfigFile(val items: List<ConfigFileItem>, val version: Long = 0)
