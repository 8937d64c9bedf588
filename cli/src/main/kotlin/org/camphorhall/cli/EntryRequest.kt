package org.camphorhall.cli

import io.ktor.http.HttpMethod
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** One call to the HTTP API of an entry. */
internal data class EntryRequest(
    val method: HttpMethod,
    val path: String,
    val body: String? = null,
    val isJson: Boolean = true,
    val headers: Map<String, String> = emptyMap(),
    /** Whether the call may be sent to another entry after its connection broke. */
    val retryable: Boolean = method == HttpMethod.Get,
    val timeout: Duration = 15.seconds,
)
