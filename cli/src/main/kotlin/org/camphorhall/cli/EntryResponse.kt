package org.camphorhall.cli

/** What an entry answered. */
internal data class EntryResponse(val status: Int, val requestId: String?, val text: String) {
    val isSuccess: Boolean get() = status in 200..299
}
