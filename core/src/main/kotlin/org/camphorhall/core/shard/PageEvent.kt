package org.camphorhall.core.shard

/** Result of a store call for a page with content [B]. */
public sealed interface PageEvent<out B> {
    /** The page was read. If it does not exist, [version] and [epoch] are 0 and [token] is empty. */
    public data class Read<B>(
        val version: Long,
        val epoch: Long,
        val token: String,
        val page: B,
    ) : PageEvent<B>

    public data object ReadFailed : PageEvent<Nothing>

    /** The write with [token] took effect. */
    public data class Written(val token: String, val version: Long) : PageEvent<Nothing>

    /** The write with [token] is guaranteed to have had no effect. */
    public data class NotWritten(val token: String) : PageEvent<Nothing>

    /** The stored version differs from the expected one, or the response to the write with [token] was lost. */
    public data class InDoubt(val token: String) : PageEvent<Nothing>
}
