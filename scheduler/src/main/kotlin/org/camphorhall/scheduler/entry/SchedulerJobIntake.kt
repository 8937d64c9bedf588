package org.camphorhall.scheduler.entry

import arrow.core.Either
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.camphorhall.core.jobs.AdmissionForecast
import org.camphorhall.core.jobs.JobClass
import org.camphorhall.core.jobs.JobPhase
import org.camphorhall.core.jobs.JobRecord
import org.camphorhall.platform.intake.IntakeResponse
import org.camphorhall.platform.intake.IntakeRequest
import org.camphorhall.platform.intake.JobIntake
import org.camphorhall.platform.operator.OperatorConfig
import org.camphorhall.process.event
import org.camphorhall.scheduler.protocol.OwnerRequest
import org.camphorhall.scheduler.support.Clock
import org.camphorhall.scheduler.support.ClockReading
import org.camphorhall.scheduler.support.JobRecordStore
import org.camphorhall.scheduler.support.JobRefusals
import org.camphorhall.scheduler.support.ShardKeys
import org.camphorhall.scheduler.support.WriteResult
import java.util.concurrent.atomic.AtomicInteger

private val logger = KotlinLogging.logger {}

/**
 * Handles the requests of callers. A job is accepted once it is stored. Its owner is notified, and finds the job in the
 * store if the notification is lost.
 */
internal class SchedulerJobIntake(
    private val config: () -> OperatorConfig?,
    private val records: JobRecordStore,
    private val refusals: JobRefusals,
    private val owners: OwnerRequestClient,
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val metrics: IntakeMetrics,
    private val writer: RecordWriter,
    /** Whether the configuration is recent enough to be treated as the newest one. */
    private val isConfigFresh: () -> Boolean,
    private val overload: OverloadView,
    private val shards: Int,
) : JobIntake {
    private val fences = FenceCache(shards)
    private val retryAfter = RetryAfter()
    private val requestCount = AtomicInteger()
    private val finalPhases = FinalPhaseCache()

    /** Number of requests in progress. */
    val inFlight: Int get() = requestCount.get()

    override suspend fun handle(request: IntakeRequest): IntakeResponse {
        requestCount.incrementAndGet()
        try {
            val startedAt = clock.steady()
            val config = config() ?: return rejected("no configuration yet")
            val route = config.findRoute(request.address.host, request.address.path)
                ?: return IntakeResponse.UnknownClass
            val id = request.address.path.removePrefix(route.prefix)
            val response = respond(request, route.jobClass, id, config, startedAt)
            val kind = request::class.simpleName.orEmpty()
            val outcome = response::class.simpleName.orEmpty()
            metrics.recordResponse(route.jobClass.id, kind, outcome, clock.steady() - startedAt)
            if (request !is IntakeRequest.Show || response is IntakeResponse.Refused ||
                response is IntakeResponse.UnknownJob
            ) {
                logResponse(request, route.jobClass, id, config, response, clock.steady() - startedAt)
            }
            return response
        } finally {
            requestCount.decrementAndGet()
        }
    }

    private suspend fun respond(
        request: IntakeRequest,
        jobClass: JobClass,
        id: String,
        config: OperatorConfig,
        startedAt: Long,
    ): IntakeResponse {
        val arrival = ClockReading(clock)
        val deadline = startedAt + timeoutMillis(request, jobClass)
        return when (request) {
            is IntakeRequest.Submit -> when {
                request.bodyBytes > config.maxBodyBytes -> IntakeResponse.TooLarge
                !isJobId(id) -> IntakeResponse.Invalid("not a job id")
                !isConfigFresh() -> rejected("the configuration may have changed")
                else -> request.spec?.let { submit(JobRecord(id, it, jobClass, clock.wall()), deadline, arrival) }
                    ?: IntakeResponse.Invalid("not a valid job")
            }
            is IntakeRequest.Show -> if (id.isEmpty()) waitingJobs(jobClass) else show(id)
            // No job has such an id, and the fence has no room for arbitrary ones.
            is IntakeRequest.Cancel -> if (isJobId(id)) cancel(id, deadline) else IntakeResponse.UnknownJob
        }
    }

    private suspend fun submit(record: JobRecord, deadline: Long, arrival: ClockReading): IntakeResponse {
        val forecast = overload.forecast(record)
        // A job that was accepted before is not turned away when it is sent again.
        if (forecast is AdmissionForecast.TooLate && refusals.confirmAbsent(record.id)) {
            return overloaded(record.id, forecast)
        }
        val submission = FencedSubmission(
            fences,
            ShardKeys.shardOf(record.id, shards),
            record.id,
            isTimely = { clock.steady() < deadline && !arrival.mayHaveBeenSuspended() },
            isFresh = { clock.steady() - arrival.steady < FRESH_MILLIS },
        )
        return responseOf(
            writer.write(
                deadline,
                direct = {
                    val result = submission.write { fence -> records.store(record, fence) }
                    if (result is WriteResult.Created) {
                        notifyOwner(record.id, OwnerRequest.JobStored(record, result.revision))
                    }
                    result
                },
                throughOwner = { timeout ->
                    submission.write { fence -> owners.write(record.id, OwnerRequest.StoreJob(record, fence), timeout) }
                },
            ),
        )
    }

    private fun overloaded(id: String, forecast: AdmissionForecast.TooLate) = IntakeResponse.Overloaded(
        "the job would end in ${forecast.expectedEndMillis} ms and is useful for ${forecast.usefulMillis} ms",
        retryAfter.seconds(id, forecast.roomAfterMillis),
    )

    private suspend fun cancel(id: String, deadline: Long): IntakeResponse = responseOf(
        writer.write(
            deadline,
            direct = {
                val result = records.storeCancellation(id)
                if (result == WriteResult.Stored) notifyOwner(id, OwnerRequest.CancellationStored(id))
                result
            },
            throughOwner = { owners.write(id, OwnerRequest.StoreCancellation(id), it) },
        ),
    )

    /** Notifies the owner, beside the response, of a record that this process has written directly. */
    private fun notifyOwner(job: String, notification: OwnerRequest) {
        scope.launch { owners.notifyOwner(job, notification) }
    }

    private fun responseOf(r: WriteResult): IntakeResponse = when (r) {
        WriteResult.Stored, is WriteResult.Created -> IntakeResponse.Done
        WriteResult.NoSuchJob -> IntakeResponse.UnknownJob
        WriteResult.Withdrawn -> IntakeResponse.Withdrawn
        is WriteResult.Superseded -> rejected("the fence of the shard changed meanwhile")
        is WriteResult.LimitReached -> rejected(r.detail)
        is WriteResult.Refused -> rejected(r.detail)
        is WriteResult.Unknown -> IntakeResponse.Unknown(r.detail)
    }

    private suspend fun show(id: String): IntakeResponse {
        finalPhases[id]?.let { return IntakeResponse.State(it) }
        val phase = owners.phaseOf(id)
            ?: records.phaseOf(id).fold({ return rejected(it.toString()) }, { it })
            ?: return IntakeResponse.UnknownJob
        if (phase.isFinal) finalPhases[id] = phase
        return IntakeResponse.State(phase)
    }

    private suspend fun waitingJobs(jobClass: JobClass): IntakeResponse =
        owners.waitingJobs(jobClass.id)?.let(IntakeResponse::Waiting) ?: rejected("owner does not answer")

    private fun rejected(reason: String) = IntakeResponse.Refused(reason, RETRY_AFTER_SECONDS)

    private fun timeoutMillis(request: IntakeRequest, jobClass: JobClass): Long {
        val callerTimeout = request.patience?.inWholeMilliseconds ?: DEFAULT_TIMEOUT_MILLIS
        val operatorTimeout = jobClass.timeoutMillis.takeIf { it > 0 } ?: DEFAULT_TIMEOUT_MILLIS
        return (minOf(callerTimeout, operatorTimeout) - RESPONSE_MARGIN_MILLIS).coerceAtLeast(0)
    }

    private fun logResponse(
        request: IntakeRequest,
        jobClass: JobClass,
        id: String,
        config: OperatorConfig,
        response: IntakeResponse,
        millis: Long,
    ) {
        logger.event(
            Level.INFO,
            "request answered",
            "call" to request::class.simpleName,
            "job" to id,
            "class" to jobClass.id,
            "configVersion" to config.version,
            "answer" to response,
            "millis" to millis,
        )
    }

    private companion object {
        /** Used when neither the caller nor the operators set a timeout. */
        const val DEFAULT_TIMEOUT_MILLIS = 3_000L

        /** Shorter than callers wait before they repeat a request at another entry; a few calls to the store. */
        const val FRESH_MILLIS = 250L

        /** Time reserved for the response to reach the caller. */
        const val RESPONSE_MARGIN_MILLIS = 100L

        /** Retry delay for callers; a brief store outage is over by then, a lasting one is not. */
        const val RETRY_AFTER_SECONDS = 1
        const val JOB_ID_LENGTH = 16

        fun isJobId(text: String): Boolean =
            text.length == JOB_ID_LENGTH && text.all { it in '0'..'9' || it in 'a'..'f' || it in 'A'..'F' }
    }
}

/** Cache of the final phases of jobs, which never change. The oldest entries are evicted. */
private class FinalPhaseCache {
    private val phases = object : LinkedHashMap<String, JobPhase>() {
        override fun removeEldestEntry(eldest: Map.Entry<String, JobPhase>): Boolean = size > CAPACITY
    }

    operator fun get(id: String): JobPhase? = synchronized(phases) { phases[id] }

    operator fun set(id: String, phase: JobPhase): Unit = synchronized(phases) { phases[id] = phase }

    private companion object {
        /** Takes about 1 MB. */
        const val CAPACITY = 8_192
    }
}
