package org.camphorhall.core.shard

/** A store call for a page with content [B]. */
public sealed interface PageCall<out B> {
    public data object Read : PageCall<Nothing>

    /** Writes [page] if the stored version is [expected]. */
    public data class Write<B>(
        val expected: Long,
        val epoch: Long,
        val token: String,
        val page: B,
    ) : PageCall<B>
}
