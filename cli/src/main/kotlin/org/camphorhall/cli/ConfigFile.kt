package org.camphorhall.cli

import kotlinx.serialization.Serializable

/** A file for `config diff`. The output of `config show --output json` is such a file; its versions are ignored. */
@Serializable
internal data class ConfigFile(val items: List<ConfigFileItem>, val version: Long = 0)
