package org.camphorhall.core.routing

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.camphorhall.core.model.ClassName
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Resources
import org.camphorhall.core.model.WorkerId
import kotlin.time.Duration

/** What an entry knows of a worker. It may be out of date; only the agent admits work. */
public data class WorkerInfo(
    val id: WorkerId,
    /** Address of the agent, host:port. */
    val address: String,
    val failureDomain: String,
    val rack: String,
    val incarnation: Long,
    /** Send time, on the agent's clock, of the latest heartbeat that an entry answered. */
    val heartbeatSentAt: MonotonicInstant,
    /** Moment on this process's clock at which the heartbeat of [heartbeatSentAt] was known. */
    val lastSeenAt: MonotonicInstant,
    val capacity: Resources,
    /** Declared resources of tasks and requests on the worker, also of throttled tasks. */
    val used: Resources,
    /** Resources that the agent keeps free for latency-critical requests. */
    val reserved: Resources,
    val draining: Boolean,
    val classes: PersistentMap<ClassName, ClassLoad> = persistentMapOf(),
    /** Requests that this entry sent and that the last report cannot include yet. */
    val requestsSentSinceReport: Int = 0,
    /** Resources of tasks that this entry placed and that the last report cannot include yet. */
    val resourcesPlacedSinceReport: Resources = Resources.None,
) {
    /** Resources that a batch task may take. */
    public val free: Resources get() = capacity - used - reserved - resourcesPlacedSinceReport

    /** Converts a deadline [remaining] from [now] to the agent's clock; never later than the real one. */
    public fun deadline(now: MonotonicInstant, remaining: Duration): MonotonicInstant =
        heartbeatSentAt + (now - lastSeenAt) + remaining
}
