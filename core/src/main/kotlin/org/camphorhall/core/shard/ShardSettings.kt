package org.camphorhall.core.shard

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Limits and durations of a shard. [taskLease], [ownerGrace] and [leaseMargin] must be the same in all processes of a
 * deployment.
 */
public data class ShardSettings(
    val taskLease: Duration = 10.seconds,
    /** Time after its last store lease renewal for which an owner renews task leases. */
    val ownerGrace: Duration = 15.minutes,
    /** Largest fraction by which the clock of an agent may run slower than that of the owner. */
    val maxClockDrift: Double = 0.01,
    /** Safety margin for process pauses between a lease decision and its effect. */
    val leaseMargin: Duration = 2.seconds,
    /** Minimum time between two writes of one page, so that many records share a write. */
    val writeInterval: Duration = 20.milliseconds,
    /** Delay before a rejected or failed store call is retried. */
    val storeRetryDelay: Duration = 500.milliseconds,
    /** Longest time that a caller waits for a record to become durable while store calls fail. */
    val commitTimeout: Duration = 2.seconds,
    /** Time after which an unconfirmed start or stop is resent. */
    val commandRetryDelay: Duration = 1.seconds,
    /** First delay before a task is placed again after a rejection or a failure; doubles with each rejection. */
    val rejectionRetryDelay: Duration = 200.milliseconds,
    /** Failed attempts after which the task fails. */
    val maxFailures: Int = 5,
    /** Retention of ended jobs. */
    val jobRetention: Duration = 24.hours,
    /** Retention of idempotency keys, counted from the claim. */
    val keyRetention: Duration = 24.hours,
    /** Maximum number of jobs in one page; a page must stay under 1 MB. */
    val maxJobs: Int = 2_000,
    /** Maximum number of idempotency keys in one page. */
    val maxKeys: Int = 4_000,
    /** Maximum number of tasks considered in one step, so that a long queue does not block the process. */
    val placementsPerStep: Int = 200,
)
