package org.camphorhall.bench

import kotlinx.collections.immutable.persistentMapOf
import org.camphorhall.core.config.ConfigItem
import org.camphorhall.core.config.Configuration
import org.camphorhall.core.model.ClassName
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Resources
import org.camphorhall.core.model.Target
import org.camphorhall.core.model.TenantName
import org.camphorhall.core.model.WorkClass
import org.camphorhall.core.model.WorkerId
import org.camphorhall.core.routing.ClassLoad
import org.camphorhall.core.routing.WorkerInfo
import org.camphorhall.core.routing.WorkerSnapshot

internal val quotes = ClassName("quotes")
internal val plans = ClassName("plans")
internal val nightly = ClassName("nightly")
internal val watchers = ClassName("watchers")
internal val tenant = TenantName("tenant-1")
internal val origin = MonotonicInstant(1_000_000_000_000)

/** Configuration with two request classes, one batch class and one class of urgent tasks. */
internal fun configuration(targetMillis: Long, finishByMillis: Long = 3_600_000): Configuration = Configuration.of(
    1,
    listOf(
        ConfigItem.OfClass(WorkClass(quotes, Target.AnswerWithin(targetMillis)), 1),
        ConfigItem.OfClass(WorkClass(plans, Target.AnswerWithin(targetMillis * 50)), 1),
        ConfigItem.OfClass(WorkClass(watchers, Target.AnswerWithin(4_300)), 1),
        ConfigItem.OfClass(WorkClass(nightly, Target.FinishBy(finishByMillis)), 1),
    ),
)

/** Worker number [n] with the capacity given in section 1.3 of the design page. */
internal fun worker(n: Int, used: Resources = Resources.None): WorkerInfo = WorkerInfo(
    id = WorkerId("worker-%05d".format(n)),
    address = "10.${n shr 16}.${n shr 8 and 255}.${n and 255}:7400",
    failureDomain = "domain-${n % 20}",
    rack = "rack-${n / 3}",
    incarnation = 1,
    heartbeatSentAt = origin,
    lastSeenAt = origin,
    capacity = Resources(64_000, 250_000),
    used = used,
    reserved = Resources(4_000, 8_000),
    draining = false,
    classes = persistentMapOf(
        quotes to ClassLoad(8, n % 8, n % 3, 20_000, n % 7 * 1_000L),
        plans to ClassLoad(8, n % 2, 0, 900_000, 0),
    ),
)

/** Snapshot of [count] workers that each use [used]. */
internal fun snapshotOf(count: Int, used: Resources = Resources.None): WorkerSnapshot =
    (0 until count).fold(WorkerSnapshot(shapesComplete = true)) { v, n -> v.put(worker(n, used)) }
