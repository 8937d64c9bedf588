package org.camphorhall.cli

/** HTTP response of an entry; [text] is the body. */
internal data class EntryResponse(val status: Int, val requestId: String?, val text: String) {
    val isSuccess: Boolean get() = status in 200..299
}
