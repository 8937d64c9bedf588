package org.camphorhall.scheduler.agent

/**
 * What the owner was told about the reachability of the worker. After a report of an unreachable worker the owner
 * assumes that no start is sent that it commanded before the next report of a reachable one. Not thread-safe.
 */
internal class ReportedReachability {
    private var unreachableReports = 0
    private var isUnreachable = false

    fun record(isReachable: Boolean) {
        isUnreachable = !isReachable
        if (isUnreachable) unreachableReports++
    }

    /** Identifies the reports before a command that arrives now; null if the owner does not expect its execution. */
    val current: Int? get() = unreachableReports.takeUnless { isUnreachable }

    /** Whether a command that arrived at [earlier] may still be executed. */
    fun isUnchangedSince(earlier: Int?): Boolean = unreachableReports == earlier
}
