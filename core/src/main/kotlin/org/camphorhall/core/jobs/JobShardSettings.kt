package org.camphorhall.core.jobs

/** Times and limits of a [JobShard], in milliseconds unless a name says otherwise. */
public data class JobShardSettings(
    /** How long an answer to an agent lets the worker run on without another one. */
    val leaseMillis: Long = 3_000,
    /**
     * Added to a lease before its worker is taken to have stopped everything: 2 % of clock drift, which the platform
     * allows, and the time that a grant may take to be applied.
     */
    val leaseSlackMillis: Long = 250,
    /** An agent that was silent for this long gets no new work; agents report at least twice in that time. */
    val reportTimeoutMillis: Long = 1_500,
    /** Longest time that a worker takes to stop a task with a checkpoint. */
    val maxStopMillis: Long = 900,
    /** A stop without an end is repeated after this time; workers stop a task within 900 ms. */
    val stopRetryMillis: Long = 1_500,
    /** Below this share, in percent, a backfill task gains from a move although it loses the time of a restart. */
    val throttledSharePercent: Int = 70,
    /** A backfill task is moved at the earliest after this time, and each further time after as long again. */
    val moveDelayMillis: Long = 1_000,
    /**
     * Age of an attempt from which the figures of its worker cover only its work: the start takes up to 0.6 s from a
     * checkpoint, a figure covers 0.5 s and is reported up to 0.8 s later.
     */
    val minMeasuredAgeMillis: Long = 2_000,
    /** A job without anything running for this long gets one backfill task started beside those of other jobs. */
    val starvationMillis: Long = 1_500,
    /** How long finished jobs stay known after their end; callers may ask for two minutes. */
    val retentionMillis: Long = 150_000,
    /** Entries of one store transaction besides the ownership check: one condition and one write for each job. */
    val jobsPerCommit: Int = 15,
)
