package org.camphorhall.core.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Why work was rejected, delayed, evicted or ended without a response. [code] is stable and part of responses. */
@Serializable
public enum class Reason(public val code: String) {
    /** The target can no longer be met, as predicted from measured service times. */
    @SerialName("target-unreachable")
    TargetUnreachable("target-unreachable"),

    /** The deadline passed before the work was dispatched. */
    @SerialName("deadline-passed")
    DeadlinePassed("deadline-passed"),

    /** The queue of the worker is full. */
    @SerialName("queue-full")
    QueueFull("queue-full"),

    /** No backend server of the class is known. */
    @SerialName("no-backend-server")
    NoBackendServer("no-backend-server"),

    /** The worker or the process is draining. */
    @SerialName("draining")
    Draining("draining"),

    /** The class of work does not exist. */
    @SerialName("unknown-class")
    UnknownClass("unknown-class"),

    /** The tenant's quota is used up. */
    @SerialName("quota-exceeded")
    QuotaExceeded("quota-exceeded"),

    /** The limit on requests in flight at one entry is reached. */
    @SerialName("entry-overloaded")
    EntryOverloaded("entry-overloaded"),

    /** The worker lacks free capacity for the declared resources. */
    @SerialName("no-capacity")
    NoCapacity("no-capacity"),

    /** The declared resources exceed the capacity of every worker, even when idle. */
    @SerialName("never-fits")
    NeverFits("never-fits"),

    /** The key-value service is unavailable, so nothing can be recorded. */
    @SerialName("store-unavailable")
    StoreUnavailable("store-unavailable"),

    /** A request with the same idempotency key is running. */
    @SerialName("key-in-progress")
    KeyInProgress("key-in-progress"),

    /** An earlier request with the same idempotency key ended without a known outcome. */
    @SerialName("key-outcome-unknown")
    KeyOutcomeUnknown("key-outcome-unknown"),

    /** The history of idempotency keys is full. */
    @SerialName("key-history-full")
    KeyHistoryFull("key-history-full"),

    /** The page that stores the jobs of the shard is full. */
    @SerialName("job-store-full")
    JobStoreFull("job-store-full"),

    /** The connection broke after the work was sent. */
    @SerialName("connection-lost")
    ConnectionLost("connection-lost"),

    /** No worker could be reached. */
    @SerialName("unreachable")
    Unreachable("unreachable"),

    /** The backend server or the task reported a failure. */
    @SerialName("work-failed")
    WorkFailed("work-failed"),

    /** The caller or an operator cancelled the work. */
    @SerialName("cancelled")
    Cancelled("cancelled"),

    /** Latency-critical work needed the capacity. */
    @SerialName("latency-critical-load")
    LatencyCriticalLoad("latency-critical-load"),

    /** The lease of the task expired. */
    @SerialName("lease-lapsed")
    LeaseLapsed("lease-lapsed"),

    /** The agent restarted and no longer tracks the task. */
    @SerialName("agent-restarted")
    AgentRestarted("agent-restarted"),

    /** The message belongs to an earlier epoch, incarnation or attempt. */
    @SerialName("stale")
    Stale("stale"),

    /** A request with the same id arrived before. */
    @SerialName("duplicate")
    Duplicate("duplicate"),

    /** The owner of the shard changed while the command was in progress. */
    @SerialName("shard-moved")
    ShardMoved("shard-moved"),
}
