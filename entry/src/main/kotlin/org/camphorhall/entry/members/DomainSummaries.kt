package org.camphorhall.entry.members

import org.camphorhall.core.config.Configuration
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Resources
import org.camphorhall.core.model.TenantName
import org.camphorhall.core.routing.WorkerInfo
import org.camphorhall.core.routing.WorkerSnapshot
import org.camphorhall.wire.proto.DomainSummary
import org.camphorhall.wire.toMessage

/** Builds the summary of the failure domain of [entry] for a peer entry that has configuration [peerConfigVersion]. */
internal fun domainSummary(
    entry: String,
    failureDomain: String,
    snapshot: WorkerSnapshot,
    usage: Map<TenantName, Resources>,
    config: Configuration,
    peerConfigVersion: Long,
    now: MonotonicInstant,
): DomainSummary {
    val own = snapshot.workers.values.filter { it.failureDomain == failureDomain }
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
    if (config.version > peerConfigVersion) summary.setConfig(config.updateSince(peerConfigVersion).toMessage())
    return summary.build()
}

/** Returns a bounded sample: the workers with the shortest wait for each class, and those with the most free CPU. */
private fun candidates(own: List<WorkerInfo>): Set<WorkerInfo> {
    val available = own.filter { !it.draining }
    val classes = available.flatMap { it.classes.keys }.toSet()
    val byClass = classes.flatMap { c ->
        available.filter { c in it.classes }.sortedBy { it.classes.getValue(c).predictedWaitMicros }.take(SAMPLE_SIZE)
    }
    return (byClass + available.sortedByDescending { it.free.cpuMillis }.take(SAMPLE_SIZE)).toSet()
}

private const val SAMPLE_SIZE = 16
