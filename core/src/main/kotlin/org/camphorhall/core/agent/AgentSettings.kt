package org.camphorhall.core.agent

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Limits, leases and timeouts of one agent. */
public data class AgentSettings(
    /** Duration of a task lease, counted from the send time of the last acknowledged heartbeat. */
    val taskLease: Duration = 10.seconds,
    /** Time after its deadline for which a request id is kept, so that a duplicate message never runs twice. */
    val requestHistory: Duration = 30.seconds,
    /**
     * Time after its start during which an agent that replaces an earlier incarnation admits no work, so that every
     * backend server has announced its running requests. It must not be shorter than the announcement interval.
     */
    val announceWait: Duration = 5.seconds,
    /** Maximum number of requests queued at one worker. */
    val maxQueue: Int = 256,
    /** Number of shards in the deployment. It must be the same in all processes. */
    val shardCount: Int = 16,
)
