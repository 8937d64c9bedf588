package org.camphorhall.wire

import kotlinx.collections.immutable.toPersistentMap
import org.camphorhall.core.agent.AgentState
import org.camphorhall.core.model.ClassName
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Resources
import org.camphorhall.core.model.WorkerId
import org.camphorhall.core.policy.AgentPolicy
import org.camphorhall.core.policy.predictedWait
import org.camphorhall.core.routing.ClassLoad
import org.camphorhall.core.routing.WorkerInfo
import org.camphorhall.wire.proto.HeartbeatRequest
import org.camphorhall.wire.proto.LoadReport
import org.camphorhall.wire.proto.WorkerSummary
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import org.camphorhall.wire.proto.ClassLoad as ClassLoadMessage

/** Builds the load report that the agent sends to entries. */
public fun AgentState.loadReport(policy: AgentPolicy, now: MonotonicInstant): LoadReport {
    // After a restart, the agent rejects all requests while it waits for reports of its predecessor's requests.
    val admitsRequests = capacity != null && now >= admissionStartsAt
    val accepting = backends.values.filter { it.acceptsRequests(now) }
    val classes = accepting.flatMap { it.classes }.distinct().map { name ->
        val wait = predictedWait(this, name, now + 1.hours, now)
        ClassLoadMessage.newBuilder()
            .setClassName(name.value)
            .setSlots(accepting.filter { name in it.classes }.sumOf { it.slots })
            .setRunning(running.values.count { it.request.className == name })
            .setQueued(queue.count { it.request.className == name })
            .setMeanServiceMicros(estimates[name]?.meanMicros?.toLong() ?: 0)
            .setPredictedWaitMicros(wait.inWholeMicroseconds)
            .build()
    }
    return LoadReport.newBuilder()
        .addAllClasses(classes)
        .setCapacity((capacity ?: Resources.None).toMessage())
        .setUsed(committed.toMessage())
        .setReserved(policy.headroom(this, now).toMessage())
        .setDraining(draining || !admitsRequests)
        .build()
}

/** Converts a worker's heartbeat, received at [now], to the entry's record of the worker. */
public fun HeartbeatRequest.toWorkerInfo(now: MonotonicInstant): WorkerInfo = WorkerInfo(
    id = WorkerId(worker),
    address = address,
    failureDomain = failureDomain,
    rack = rack,
    incarnation = incarnation,
    heartbeatSentAt = MonotonicInstant(sentNanos),
    lastSeenAt = now,
    capacity = load.capacity.toModel(),
    used = load.used.toModel(),
    reserved = load.reserved.toModel(),
    draining = load.draining,
    classes = load.classesList.toModel(),
)

/** Converts the record of a worker to the summary that entries exchange. */
public fun WorkerInfo.toMessage(now: MonotonicInstant): WorkerSummary = WorkerSummary.newBuilder()
    .setWorker(id.value)
    .setAddress(address)
    .setFailureDomain(failureDomain)
    .setRack(rack)
    .setIncarnation(incarnation)
    .setAnchorNanos(heartbeatSentAt.nanos)
    .setAgeMillis((now - lastSeenAt).inWholeMilliseconds)
    .setLoad(
        LoadReport.newBuilder()
            .setCapacity(capacity.toMessage())
            .setUsed((used + resourcesPlacedSinceReport).toMessage())
            .setReserved(reserved.toMessage())
            .setDraining(draining)
            .addAllClasses(classes.map { (name, load) -> load.toMessage(name) }),
    )
    .build()

/** Converts another entry's summary of a worker, received at [now], to this entry's record of the worker. */
public fun WorkerSummary.toWorkerInfo(now: MonotonicInstant): WorkerInfo = HeartbeatRequest.newBuilder()
    .setWorker(worker)
    .setAddress(address)
    .setFailureDomain(failureDomain)
    .setRack(rack)
    .setIncarnation(incarnation)
    .setSentNanos(anchorNanos)
    .setLoad(load)
    .build()
    .toWorkerInfo(now - ageMillis.milliseconds)

private fun ClassLoad.toMessage(name: ClassName): ClassLoadMessage = ClassLoadMessage.newBuilder()
    .setClassName(name.value)
    .setSlots(slots)
    .setRunning(running)
    .setQueued(queued)
    .setMeanServiceMicros(meanServiceMicros)
    .setPredictedWaitMicros(predictedWaitMicros)
    .build()

private fun List<ClassLoadMessage>.toModel() = associate { c ->
    ClassName(c.className) to ClassLoad(c.slots, c.running, c.queued, c.meanServiceMicros, c.predictedWaitMicros)
}.toPersistentMap()
