package org.camphorhall.entry

import kotlinx.serialization.Serializable
import org.camphorhall.process.SettingsProblem
import org.camphorhall.process.checkSettings

/** Settings of an entry. */
@Serializable
internal data class EntryOptions(
    /** Address of the gRPC server for agents and other entries, host:port. */
    val listen: String,
    /** Address of the HTTP server for callers and operators. */
    val httpListen: String,
    val failureDomain: String,
    /** Address at which agents and other entries reach this entry, host:port; [listen] if null. */
    val advertise: String? = null,
    /** URL of the platform's key-value service. */
    val storeUrl: String,
    /** Name of the routing policy for requests: `default`, or a baseline for measurements. */
    val routing: String = "default",
    /** Number of shards; the same on all processes. */
    val shards: Int = 16,
    /** Lease duration of this entry in the store; it expires when the entry does not renew it. */
    val storeLeaseMillis: Long = 5_000,
    val taskLeaseMillis: Long = 10_000,
    /** Time for which task leases are renewed while the store is unreachable. */
    val ownerGraceMillis: Long = 900_000,
    /** Minimum interval between two writes of one page. */
    val writeIntervalMillis: Long = 20,
    val keyRetentionHours: Long = 24,
    val jobRetentionHours: Long = 24,
    val limits: LimitOptions = LimitOptions(),
    /** Maximum time that a graceful shutdown waits for requests in flight. */
    val drainLimitMillis: Long = 30_000,
)

/** Limits on the requests and jobs of callers. */
@Serializable
internal data class LimitOptions(
    val maxBodyBytes: Long = 1_048_576,
    /** Maximum size of a job's payload in UTF-8 bytes. */
    val maxPayloadBytes: Int = 8_192,
    /** Maximum number of tasks of one job. */
    val maxTasks: Int = 1_000,
    /** Maximum number of requests in flight at this entry. */
    val maxInFlight: Int = 2_000,
    /** Maximum number of requests in flight of a tenant without a quota. */
    val maxInFlightPerTenant: Int = 500,
    /** Maximum timeout of a request. */
    val maxTimeoutMillis: Long = 300_000,
)

internal fun checkOptions(o: EntryOptions): List<SettingsProblem> = checkSettings {
    address("listen", o.listen)
    address("httpListen", o.httpListen)
    o.advertise?.let { address("advertise", it) }
    notBlank("failureDomain", o.failureDomain)
    holds("storeUrl", o.storeUrl.startsWith("http://"), o.storeUrl, "a URL that starts with http://")
    holds("routing", o.routing in routingPolicies, o.routing, routingPolicies.keys.joinToString())
    range("shards", o.shards, 1..4_096)
    range("storeLeaseMillis", o.storeLeaseMillis, 500L..60_000L)
    range("taskLeaseMillis", o.taskLeaseMillis, 500L..600_000L)
    holds(
        "ownerGraceMillis",
        o.ownerGraceMillis >= o.storeLeaseMillis,
        o.ownerGraceMillis.toString(),
        "at least storeLeaseMillis",
    )
    range("writeIntervalMillis", o.writeIntervalMillis, 0L..10_000L)
    positive("keyRetentionHours", o.keyRetentionHours)
    positive("jobRetentionHours", o.jobRetentionHours)
    // A body is sent to an agent in one gRPC message, whose limit of 8 MiB includes the other fields.
    range("limits.maxBodyBytes", o.limits.maxBodyBytes, 1L..7_340_032L)
    range("limits.maxPayloadBytes", o.limits.maxPayloadBytes, 1..65_536)
    range("limits.maxTasks", o.limits.maxTasks, 1..1_000)
    positive("limits.maxInFlight", o.limits.maxInFlight)
    positive("limits.maxInFlightPerTenant", o.limits.maxInFlightPerTenant)
    positive("limits.maxTimeoutMillis", o.limits.maxTimeoutMillis)
    range("drainLimitMillis", o.drainLimitMillis, 0L..3_600_000L)
}
