package org.camphorhall.scheduler.protocol

import kotlinx.serialization.json.Json

/** JSON format of messages between scheduler processes and of stored records. Ignores fields of later versions. */
internal val documentJson = Json { ignoreUnknownKeys = true }
