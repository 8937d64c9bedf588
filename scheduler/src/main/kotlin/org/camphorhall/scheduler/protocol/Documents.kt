package org.camphorhall.scheduler.protocol

import kotlinx.serialization.json.Json
import org.camphorhall.platform.json.DocumentDecoder

/** JSON format of messages between scheduler processes and of stored records. Ignores fields of later versions. */
internal val documentJson = Json { ignoreUnknownKeys = true }

/** Decodes what other processes wrote with [documentJson]. */
internal val documentDecoder = DocumentDecoder(documentJson)
