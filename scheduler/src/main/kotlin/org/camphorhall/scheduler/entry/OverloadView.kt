package org.camphorhall.scheduler.entry

import org.camphorhall.core.jobs.AdmissionForecast
import org.camphorhall.core.jobs.JobRecord
import org.camphorhall.core.jobs.ShardLoad
import org.camphorhall.core.jobs.forecastAdmission
import org.camphorhall.scheduler.support.Clock
import org.camphorhall.scheduler.support.ShardKeys
import java.util.concurrent.atomic.AtomicReferenceArray

/**
 * The newest loads that the owners of [shards] shards have told this entry. A load that is older than [MAX_AGE_MILLIS]
 * says nothing, so that an entry without a path to an owner turns no job away for lack of room.
 */
internal class OverloadView(private val clock: Clock, private val shards: Int) {
    private class Reading(val loads: List<ShardLoad>, val at: Long)

    private val readings = AtomicReferenceArray<Reading?>(shards)

    /** Records the [loads] that the owner of [shard] has just sent. */
    fun update(shard: Int, loads: List<ShardLoad>): Unit = readings.set(shard, Reading(loads, clock.steady()))

    /** Whether [record], if it were accepted now, could end while its result is useful. */
    fun forecast(record: JobRecord): AdmissionForecast {
        val reading = readings[ShardKeys.shardOf(record.id, shards)]
            ?.takeIf { clock.steady() - it.at <= MAX_AGE_MILLIS }
        val load = reading?.loads?.firstOrNull { it.service == record.jobClass.service }
        return load?.let { forecastAdmission(record.spec, record.jobClass, it) } ?: AdmissionForecast.Useful
    }

    internal companion object {
        /** Work that takes seconds does not vanish in one; an older load may be that of a replaced owner. */
        const val MAX_AGE_MILLIS = 1_000L
    }
}
