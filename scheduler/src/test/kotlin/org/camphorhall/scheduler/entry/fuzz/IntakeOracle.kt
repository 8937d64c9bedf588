package org.camphorhall.scheduler.entry.fuzz

import org.camphorhall.platform.store.StoreTransaction
import org.camphorhall.scheduler.support.ShardKeys

/** Checks what the store carries out against what callers were told. Times are virtual milliseconds. */
internal class IntakeOracle(private val keys: ShardKeys) {
    /** When callers were told that a job does not exist, and is cancelled. */
    private val withdrawnAt = HashMap<String, Long>()

    /** When callers were last told that a job was refused and never runs. */
    private val refusedAt = HashMap<String, Long>()

    /** When the fence was last advanced for a cleanup that deletes the records of a job. */
    private val cleanedAt = HashMap<String, Long>()

    /** When requests for a job arrived at entries. */
    private val arrivals = HashMap<String, MutableList<Long>>()
    val violations = mutableListOf<String>()

    fun recordArrival(job: String, now: Long) {
        arrivals.getOrPut(job) { mutableListOf() } += now
    }

    fun recordWithdrawn(job: String, now: Long) {
        withdrawnAt.putIfAbsent(job, now)
    }

    /** Whether the fence may have forgotten by [now] that the job was withdrawn; callers then submit it no more. */
    fun isLongWithdrawn(job: String, now: Long): Boolean = withdrawnAt[job]?.let { now - it > REPEAT_MILLIS } ?: false

    /** Records the refusal of the request that arrived at [arrivedAt], which creates no job any more. */
    fun recordRefused(job: String, arrivedAt: Long, now: Long) {
        refusedAt[job] = now
        arrivals[job]?.remove(arrivedAt)
    }

    fun recordCleanup(jobs: Collection<String>, now: Long) = jobs.forEach { cleanedAt[it] = now }

    /** Checks the [original] transaction, issued at [issuedAt], as it is carried out; [current] has the revisions. */
    fun check(original: StoreTransaction, issuedAt: Long, now: Long, current: Map<String, Long>) {
        for (w in original.writes) {
            keys.jobIdOf(w.key)?.let { checkCreation(it, issuedAt, now) }
            keys.cancelledJobIdOf(w.key)?.let { job ->
                if (keys.job(job) !in current) violations += "$now: cancellation of $job, which is not stored"
            }
        }
        for (key in original.deletes) {
            val intended = original.conditions[key] ?: continue
            if (current[key] != null && current[key] != intended) violations += "$now: deletion of a newer $key"
        }
    }

    private fun checkCreation(job: String, issuedAt: Long, now: Long) {
        withdrawnAt[job]?.let { violations += "$now: $job is created by a write of $issuedAt, unknown at $it" }
        val refused = refusedAt[job]
        if (refused != null && arrivals[job].orEmpty().none { it > refused - FRESH_MILLIS }) {
            violations += "$now: $job is created by a write of $issuedAt, refused at $refused"
        }
        val cleaned = cleanedAt[job]
        if (cleaned != null && issuedAt < cleaned) {
            violations += "$now: $job is created by a write of $issuedAt, its records were deleted after $cleaned"
        }
    }

    private companion object {
        /** Time after a cancellation in which a repeated request may arrive. */
        const val REPEAT_MILLIS = 3_000L

        /** A request that arrives this soon before a refusal elsewhere counts as that of a returning caller. */
        const val FRESH_MILLIS = 250L
    }
}
