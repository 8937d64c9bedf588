package org.camphorhall.scheduler.entry

import org.camphorhall.scheduler.support.StoredFence
import org.camphorhall.scheduler.support.WriteResult
import java.util.concurrent.atomic.AtomicReferenceArray

/** The newest fences of [shards] shards that this entry has seen. */
internal class FenceCache(shards: Int) {
    private val fences = AtomicReferenceArray(Array(shards) { StoredFence() })

    operator fun get(shard: Int): StoredFence = fences[shard]

    /** Replaces the fence of [shard] by [fence] if that is newer. */
    fun update(shard: Int, fence: StoredFence) {
        fences.accumulateAndGet(shard, fence) { a, b -> if (b.revision > a.revision) b else a }
    }
}

/**
 * The tries of one request to store [job] in [shard]. All are conditional on the fence that was known when the request
 * arrived. A newer one is adopted only while [isTimely], since the fence forgets which jobs were withdrawn: a request
 * that was held up may be older than a cancellation that no record shows any more.
 */
internal class FencedSubmission(
    private val fences: FenceCache,
    private val shard: Int,
    private val job: String,
    private val isTimely: () -> Boolean,
    private val isFresh: () -> Boolean = { true },
) {
    private var current = fences[shard]

    /** Whether a try without a response may still be committed, unless the fence has changed since. */
    private var mayBePending = false

    /**
     * Performs [write] with the revision of the fence, again with a newer one if that has changed. The result is
     * [WriteResult.Superseded] if the request was held up, the caller was refused at another entry meanwhile, or the
     * fence keeps changing; then no try was or will be committed.
     */
    suspend fun write(write: suspend (fence: Long) -> WriteResult): WriteResult {
        repeat(MAX_TRIES) {
            // A write at this revision would not meet a conflict.
            if (job in current.fence.withdrawn) return WriteResult.Withdrawn
            val wasPending = mayBePending
            // Also holds if the call is cancelled.
            mayBePending = true
            val result = write(current.revision)
            if (result !is WriteResult.Unknown) mayBePending = wasPending
            if (result !is WriteResult.Superseded) return result
            fences.update(shard, result.fence)
            if (!isTimely() || wasRefusedElsewhere(result.fence)) return result
            current = result.fence
        }
        return WriteResult.Superseded(current)
    }

    /**
     * Whether another entry has refused the job since its caller sent this request. Callers repeat a request elsewhere
     * once they have waited for its response; a fresh request is that of a caller who returns after the refusal.
     */
    private fun wasRefusedElsewhere(newer: StoredFence): Boolean =
        job in newer.fence.refused && (mayBePending || !isFresh())

    private companion object {
        /** Each try takes a few milliseconds; a fence that changes more often is under a flood of requests. */
        const val MAX_TRIES = 8
    }
}
