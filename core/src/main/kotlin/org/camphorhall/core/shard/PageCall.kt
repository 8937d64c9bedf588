package org.camphorhall.core.shard

/** A call to the store about a page with content [B]. */
public sealed interface PageCall<out B> {
    /** Reads the page. */
    public data object Read : PageCall<Nothing>

    /** Writes the page if its version is [expected]. */
    public data class Write<B>(
        val expected: Long,
        val epoch: Long,
        val token: String,
        val page: B,
    ) : PageCall<B>
}
