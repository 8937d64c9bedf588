package org.camphorhall.core.shard

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Limits and times of a shard. All processes of a deployment use the same [taskLease], [ownerGrace] and [margin]. */
public data class ShardSettings(
    val taskLease: Duration = 10.seconds,
    /** Time after its last contact with the store for which an owner renews task leases. */
    val ownerGrace: Duration = 15.minutes,
    /** Bound on how much slower than the owner's the clock of an agent may run. */
    val maxClockDrift: Double = 0.01,
    /** Allowance for pauses between a decision and its effect. */
    val leaseMargin: Duration = 2.seconds,
    /** Least time between two writes of one page, so that many records share a write. */
    val writeInterval: Duration = 20.milliseconds,
    /** Wait before a refused or failed call to the store is repeated. */
    val storeRetryDelay: Duration = 500.milliseconds,
    /** Longest wait of a caller for a record to become durable. */
    val commitTimeout: Duration = 2.seconds,
    /** Time after which an unconfirmed start is sent again. */
    val commandRetryDelay: Duration = 1.seconds,
    /** Wait of a task that a worker refused. */
    val rejectionRetryDelay: Duration = 200.milliseconds,
    /** Failed attempts after which a task fails for good. */
    val maxFailures: Int = 5,
    /** Time for which ended jobs are kept. */
    val jobRetention: Duration = 24.hours,
    /** Time for which idempotency keys are kept. */
    val keyRetention: Duration = 24.hours,
    /** Jobs that one page holds; a page must stay under 1 MB. */
    val maxJobs: Int = 2_000,
    /** Idempotency keys that one page holds. */
    val maxKeys: Int = 4_000,
    /** Tasks placed in one step, so that a long queue cannot hold up the process. */
    val placementsPerStep: Int = 200,
)
