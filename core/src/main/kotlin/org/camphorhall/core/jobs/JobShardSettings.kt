package org.camphorhall.core.jobs

/** Durations and limits of a [JobShard]; durations are in milliseconds. */
public data class JobShardSettings(
    /** Duration of the worker lease that a response to an agent grants. */
    val leaseMillis: Long = 3_000,
    /**
     * Added to a lease before the attempts of its worker are considered stopped. Covers the 2 % of clock drift that the
     * platform allows and the time until a grant takes effect.
     */
    val leaseSlackMillis: Long = 250,
    /**
     * Longest lease that a worker takes; it shortens longer ones. The end of a lease is a time on the clock of one
     * incarnation of a worker. Another incarnation, which executes a start meant for that one, takes the longest lease.
     */
    val maxWorkerLeaseMillis: Long = 6_000,
    /** A worker without a report for this long gets no new tasks; agents report at least twice in that time. */
    val reportTimeoutMillis: Long = 1_500,
    /** Longest time for a worker to stop a task and save its checkpoint. */
    val maxStopMillis: Long = 900,
    /** Longest time for a worker to start a task from a checkpoint. */
    val restoreMillis: Long = 600,
    /**
     * How long finished and withdrawn jobs are retained; callers may query them for two minutes after the end, which
     * they may learn late.
     */
    val retentionMillis: Long = 150_000,
    /**
     * Minimum time between two deletions of expired records. Each advances the fence of the shard, after which every
     * entry repeats one creation.
     */
    val cleanupIntervalMillis: Long = 10_000,
    /**
     * Time from the acknowledgement of an evacuation within which starts in the failure domain have to cease; null if
     * the platform has no evacuations.
     */
    val evacuationMillis: Long? = null,
    /** CPU share in percent below which moving a backfill task pays off despite the time lost by its restart. */
    val throttledSharePercent: Int = 70,
    /** Minimum age of an attempt before a throttled backfill task is moved; grows by this time with each move. */
    val moveDelayMillis: Long = 1_000,
    /**
     * How long tasks wait for preferences. A job with ready tasks but no assigned one for this long gets one task or
     * gang started wherever it may run, and so does each long-running task.
     */
    val starvationMillis: Long = 1_500,
    /** How many times as long the tasks of a gang that asks for one rack take on several. */
    val crossRackFactor: Double = 1.5,
    /**
     * Entries per store transaction besides the ownership check. A job takes a write and a condition, and another
     * condition when its progress is written for the first time.
     */
    val entriesPerCommit: Int = 31,
) {
    /** A stop command is repeated if no end is reported in this time: a stop, and the way of its report. */
    internal val stopRetryMillis: Long get() = maxStopMillis + STOP_REPORT_MILLIS

    /**
     * Age of an attempt from which its reported load covers only its running time: after the start from a checkpoint, a
     * measurement covers 0.5 s and is reported up to 0.9 s later.
     */
    internal val minMeasuredAgeMillis: Long get() = restoreMillis + MEASUREMENT_MILLIS

    /**
     * Greatest age of the state of evacuations that allows starts; null if the platform has none. A start is under way
     * for at most a granted lease, so that none begins later than [evacuationMillis].
     */
    internal val maxEvacuationAgeMillis: Long?
        get() = evacuationMillis?.let { (it - grantedLeaseMillis).coerceAtLeast(MIN_EVACUATION_AGE_MILLIS) }

    /** Least [evacuationMillis] that can be kept. */
    public val minEvacuationMillis: Long get() = grantedLeaseMillis + MIN_EVACUATION_AGE_MILLIS

    /** Upper bound of the duration of a granted lease, measured by the owner. */
    internal val grantedLeaseMillis: Long get() = withDrift(leaseMillis) + leaseSlackMillis

    /**
     * For how long after the end of its lease an attempt may run that no list has shown: its start was sent before that
     * end, and may have reached another incarnation of the worker.
     */
    internal val unlistedAttemptMillis: Long get() = withDrift(maxWorkerLeaseMillis)

    private fun withDrift(millis: Long): Long = millis * DRIFT_PERCENT / FULL_PERCENT

    private companion object {
        /** The clock of a worker may run 2 % slow; 3 % also covers the drift of the owner's clock. */
        const val DRIFT_PERCENT = 103
        const val FULL_PERCENT = 100

        const val STOP_REPORT_MILLIS = 600L
        const val MEASUREMENT_MILLIS = 1_400L

        /** Two reads of the state; a shorter limit would stop all starts whenever one read is late. */
        const val MIN_EVACUATION_AGE_MILLIS = 1_500L
    }
}
