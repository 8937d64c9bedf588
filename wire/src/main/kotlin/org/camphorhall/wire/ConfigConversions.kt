package org.camphorhall.wire

import kotlinx.serialization.json.Json
import org.camphorhall.core.config.ConfigItem
import org.camphorhall.core.config.ConfigUpdate
import org.camphorhall.wire.proto.ConfigUpdate as ConfigUpdateMessage

private val json = Json { ignoreUnknownKeys = true }

/** Converts a configuration update to its message. */
public fun ConfigUpdate.toMessage(): ConfigUpdateMessage = ConfigUpdateMessage.newBuilder()
    .setVersion(version)
    .setSince(since)
    .setFloor(floor)
    .addAllItems(items.map { json.encodeToString(ConfigItem.serializer(), it) })
    .build()

/** Converts a message to a configuration update. */
public fun ConfigUpdateMessage.toModel(): ConfigUpdate =
    ConfigUpdate(version, since, itemsList.map { json.decodeFromString(ConfigItem.serializer(), it) }, floor)
