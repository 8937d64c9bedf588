package org.camphorhall.core.routing

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.camphorhall.core.model.ClassName
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Resources
import org.camphorhall.core.model.WorkerId
import kotlin.time.Duration

/** Last reported state of a worker. It may be out of date; only the agent admits work. */
public data class WorkerInfo(
    val id: WorkerId,
    /** Address of the agent, host:port. */
    val address: String,
    val failureDomain: String,
    val rack: String,
    val incarnation: Long,
    /** Send time, on the agent's clock, of the latest heartbeat that an entry acknowledged. */
    val heartbeatSentAt: MonotonicInstant,
    /** Time on this process's clock by which the heartbeat sent at [heartbeatSentAt] had been received. */
    val lastSeenAt: MonotonicInstant,
    val capacity: Resources,
    /** Declared resources of the tasks and requests on the worker, in full for throttled tasks. */
    val used: Resources,
    /** Resources that the agent keeps free for latency-critical requests. */
    val reserved: Resources,
    val draining: Boolean,
    val classes: PersistentMap<ClassName, ClassLoad> = persistentMapOf(),
    /** Requests that this entry sent and that the last report does not include yet. */
    val requestsSentSinceReport: Int = 0,
    /** Resources of tasks that this entry placed and that the last report does not include yet. */
    val resourcesPlacedSinceReport: Resources = Resources.None,
) {
    /** Free capacity for batch tasks. */
    public val free: Resources get() = capacity - used - reserved - resourcesPlacedSinceReport

    /** Converts the deadline [remaining] after [now] to the agent's clock; the result is never after the deadline. */
    public fun deadline(now: MonotonicInstant, remaining: Duration): MonotonicInstant =
        heartbeatSentAt + (now - lastSeenAt) + remaining
}
