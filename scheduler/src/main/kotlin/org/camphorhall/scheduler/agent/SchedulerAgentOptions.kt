package org.camphorhall.scheduler.agent

import kotlinx.serialization.Serializable
import org.camphorhall.core.jobs.JobShardSettings
import org.camphorhall.process.SettingsProblem
import org.camphorhall.process.checkSettings

/** Settings of the scheduler agent. */
@Serializable
internal data class SchedulerAgentOptions(
    /** Name of the instance; must not change over restarts. */
    val instance: String,
    /** Listen address for worker heartbeats, host:port. */
    val heartbeats: String,
    /** Listen address for agents and entries, host:port. */
    val peers: String,
    /** Listen address for metrics, host:port. */
    val metrics: String,
    /** Address of the key-value service, host:port. */
    val store: String,
    /** Number of shards of the deployment, the same in all processes. */
    val shards: Int = 1,
    /** Longest lease that a worker takes, in milliseconds; it shortens longer ones. */
    val maxLeaseMillis: Long = DEFAULT_MAX_LEASE_MILLIS,
    /** How many times as long the tasks of a gang that asks for one rack take on several. */
    val crossRackFactor: Double = DEFAULT_CROSS_RACK_FACTOR,
    /** Longest time for a worker to stop a task, in milliseconds. */
    val stopTimeoutMillis: Long = DEFAULT_STOP_TIMEOUT_MILLIS,
    /** Longest time for a worker to start a task from a checkpoint, in milliseconds. */
    val restoreMillis: Long = DEFAULT_RESTORE_MILLIS,
    /** How long callers may query a job that has ended, in seconds. */
    val jobStatusSeconds: Long = DEFAULT_JOB_STATUS_SECONDS,
    /**
     * Time from the acknowledgement of an evacuation within which starts in the failure domain cease, in milliseconds;
     * null if the platform has no evacuations.
     */
    val evacuationMillis: Long? = null,
) {
    /** Settings of the shard that this agent may own. All times that follow from the platform's bounds derive here. */
    fun shardSettings(): JobShardSettings = JobShardSettings(
        maxWorkerLeaseMillis = maxLeaseMillis,
        crossRackFactor = crossRackFactor,
        maxStopMillis = stopTimeoutMillis,
        restoreMillis = restoreMillis,
        retentionMillis = jobStatusSeconds * MILLIS_PER_SECOND + STATUS_MARGIN_MILLIS,
        evacuationMillis = evacuationMillis,
    )

    companion object {
        const val DEFAULT_MAX_LEASE_MILLIS = 6_000L
        const val DEFAULT_CROSS_RACK_FACTOR = 1.5
        const val DEFAULT_STOP_TIMEOUT_MILLIS = 900L
        const val DEFAULT_RESTORE_MILLIS = 600L
        const val DEFAULT_JOB_STATUS_SECONDS = 120L
        private const val MILLIS_PER_SECOND = 1_000L

        /** Covers the time between the end of a job and the moment at which its callers can learn of it. */
        private const val STATUS_MARGIN_MILLIS = 30_000L
    }
}

internal fun checkAgentOptions(o: SchedulerAgentOptions): List<SettingsProblem> = checkSettings {
    notBlank("instance", o.instance)
    holds("instance", '|' !in o.instance, "\"${o.instance}\"", "a name without |")
    address("heartbeats", o.heartbeats)
    address("peers", o.peers)
    address("metrics", o.metrics)
    address("store", o.store)
    range("shards", o.shards, 1..4_096)
    holds("maxLeaseMillis", o.maxLeaseMillis in 1..600_000, "${o.maxLeaseMillis}", "1 to 600000")
    range("crossRackFactor", o.crossRackFactor, 1.0..100.0)
    range("stopTimeoutMillis", o.stopTimeoutMillis, 1L..60_000L)
    range("restoreMillis", o.restoreMillis, 0L..60_000L)
    range("jobStatusSeconds", o.jobStatusSeconds, 1L..86_400L)
    // A start may be under way for the length of a lease, so that a shorter time cannot be kept.
    o.evacuationMillis?.let { range("evacuationMillis", it, JobShardSettings().minEvacuationMillis..600_000L) }
}
