package org.camphorhall.scheduler.protocol

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import org.camphorhall.wire.proto.Document

/** JSON format of messages between scheduler processes and of stored records. Ignores fields of later versions. */
internal val documentJson = Json { ignoreUnknownKeys = true }

internal fun <T> documentOf(type: KSerializer<T>, value: T): Document =
    Document.newBuilder().setBody(documentJson.encodeToString(type, value)).build()

internal fun <T> Document.decode(type: KSerializer<T>): T = documentJson.decodeFromString(type, body)
