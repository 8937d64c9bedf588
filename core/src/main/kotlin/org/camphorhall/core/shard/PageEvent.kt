package org.camphorhall.core.shard

/** What the store said about a page with content [B]. */
public sealed interface PageEvent<out B> {
    /** The page was read. [version], [epoch] and [token] are 0, 0 and empty for an absent page. */
    public data class Read<B>(
        val version: Long,
        val epoch: Long,
        val token: String,
        val page: B,
    ) : PageEvent<B>

    /** The page could not be read. */
    public data object ReadFailed : PageEvent<Nothing>

    /** The write with [token] took effect. */
    public data class Written(val token: String, val version: Long) : PageEvent<Nothing>

    /** The write with [token] surely had no effect. */
    public data class NotWritten(val token: String) : PageEvent<Nothing>

    /** The page has another version, or the answer to the write with [token] was lost. */
    public data class InDoubt(val token: String) : PageEvent<Nothing>
}
