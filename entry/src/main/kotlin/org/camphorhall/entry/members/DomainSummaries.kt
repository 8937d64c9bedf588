package org.camphorhall.entry.members

import org.camphorhall.core.config.Configuration
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Resources
import org.camphorhall.core.model.TenantName
import org.camphorhall.core.routing.WorkerInfo
import org.camphorhall.core.routing.WorkerSnapshot
import org.camphorhall.wire.proto.DomainSummary
import org.camphorhall.wire.toMessage

/** Builds the summary of the failure domain of [entry] for another entry that holds configuration [theirVersion]. */
internal fun domainSummary(
    entry: String,
    failureDomain: String,
    view: WorkerSnapshot,
    usage: Map<TenantName, Resources>,
    config: Configuration,
    theirVersion: Long,
    now: MonotonicInstant,
): DomainSummary {
    val own = view.workers.values.filter { it.failureDomain == failureDomain }
    val summary = DomainSummary.newBuilder()
        .setEntry(entry)
        .setFailureDomain(failureDomain)
        .setConfigVersion(config.version)
        .setWorkers(own.size)
        .setCapacity(own.fold(Resources.None) { s, w -> s + w.capacity }.toMessage())
        .setUsed(own.fold(Resources.None) { s, w -> s + w.used }.toMessage())
        .setLargest(own.fold(Resources.None) { s, w -> s.max(w.capacity) }.toMessage())
        .addAllCandidates(candidates(own).map { it.toMessage(now) })
        .putAllTenantUsage(usage.entries.associate { it.key.value to it.value.toMessage() })
    if (config.version > theirVersion) summary.setConfig(config.updateSince(theirVersion).toMessage())
    return summary.build()
}

/** Returns a bounded sample: the workers with the shortest wait of each class, and those with the most room. */
private fun candidates(own: List<WorkerInfo>): Set<WorkerInfo> {
    val open = own.filter { !it.draining }
    val classes = open.flatMap { it.classes.keys }.toSet()
    val byClass = classes.flatMap { c ->
        open.filter { c in it.classes }.sortedBy { it.classes.getValue(c).predictedWaitMicros }.take(SAMPLE)
    }
    return (byClass + open.sortedByDescending { it.free.cpuMillis }.take(SAMPLE)).toSet()
}

private const val SAMPLE = 16
