package org.camphorhall.scheduler.entry

import arrow.core.Either
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
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
import org.camphorhall.scheduler.support.JobRecordStore
import org.camphorhall.scheduler.support.WriteResult
import java.util.concurrent.atomic.AtomicInteger

private val logger = KotlinLogging.logger {}

/** Answers callers. A job is accepted once it is stored; its owner is told and finds it in the store otherwise. */
internal class RealJobIntake(
    private val config: () -> OperatorConfig?,
    private val records: JobRecordStore,
    private val owners: OwnerQuestions,
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val metrics: IntakeMetrics,
    private val writer: RecordWriter,
    /** Whether the configuration may still be the newest one. */
    private val isConfigFresh: () -> Boolean,
) : JobIntake {
    private val requests = AtomicInteger()
    private val finalPhases = FinalPhases()

    /** Number of requests that are being answered. */
    val inFlight: Int get() = requests.get()

    override suspend fun handle(request: IntakeRequest): IntakeResponse {
        requests.incrementAndGet()
        try {
            val startedAt = clock.steady()
            val config = config() ?: return refused("no configuration yet")
            val route = config.findRoute(request.address.host, request.address.path)
                ?: return IntakeResponse.UnknownClass
            val id = request.address.path.removePrefix(route.prefix)
            val answer = answer(request, route.jobClass, id, config, startedAt)
            val kind = request::class.simpleName.orEmpty()
            metrics.answered(route.jobClass.id, kind, answer::class.simpleName.orEmpty(), clock.steady() - startedAt)
            if (request !is IntakeRequest.Show || answer is IntakeResponse.Refused ||
                answer is IntakeResponse.UnknownJob
            ) {
                log(request, route.jobClass, id, config, answer, clock.steady() - startedAt)
            }
            return answer
        } finally {
            requests.decrementAndGet()
        }
    }

    private suspend fun answer(
        request: IntakeRequest,
        jobClass: JobClass,
        id: String,
        config: OperatorConfig,
        startedAt: Long,
    ): IntakeResponse {
        val until = startedAt + patienceMillis(request, jobClass).coerceAtMost(MAX_WRITE_MILLIS)
        return when (request) {
            is IntakeRequest.Submit -> when {
                request.bodyBytes > config.maxBodyBytes -> IntakeResponse.TooLarge
                !isId(id) -> IntakeResponse.Invalid("not a job id")
                !isConfigFresh() -> refused("the configuration may have changed")
                else -> request.spec?.let { submit(JobRecord(id, it, jobClass, clock.wall()), until) }
                    ?: IntakeResponse.Invalid("not a valid job")
            }
            is IntakeRequest.Show -> if (id.isEmpty()) waiting(jobClass) else show(id)
            is IntakeRequest.Cancel -> cancel(id, until)
        }
    }

    private suspend fun submit(record: JobRecord, until: Long): IntakeResponse =
        answerOf(
            writer.write(
                until,
                direct = { records.store(record).tell(record.id, OwnerRequest.JobStored(record)) },
                throughOwner = { owners.write(record.id, OwnerRequest.StoreJob(record)) },
            ),
        )

    private suspend fun cancel(id: String, until: Long): IntakeResponse = answerOf(
        writer.write(
            until,
            direct = { records.storeCancellation(id).tell(id, OwnerRequest.CancellationStored(id)) },
            throughOwner = { owners.write(id, OwnerRequest.StoreCancellation(id)) },
        ),
    )

    /** Tells the owner of a write that this process made. */
    private fun WriteResult.tell(job: String, news: OwnerRequest): WriteResult = also {
        if (it == WriteResult.Stored) scope.launch { owners.tell(job, news) }
    }

    private fun answerOf(r: WriteResult): IntakeResponse = when (r) {
        WriteResult.Stored -> IntakeResponse.Done
        WriteResult.NoSuchJob -> IntakeResponse.UnknownJob
        is WriteResult.Refused -> refused(r.detail)
        is WriteResult.Unknown -> IntakeResponse.Unknown(r.detail)
    }

    private suspend fun show(id: String): IntakeResponse {
        finalPhases[id]?.let { return IntakeResponse.State(it) }
        val phase = owners.phaseOf(id)
            ?: records.phaseOf(id).fold({ return refused(it.toString()) }, { it })
            ?: return IntakeResponse.UnknownJob
        if (phase.isFinal) finalPhases[id] = phase
        return IntakeResponse.State(phase)
    }

    private suspend fun waiting(jobClass: JobClass): IntakeResponse =
        owners.waiting(jobClass.id)?.let(IntakeResponse::Waiting) ?: refused("owner does not answer")

    private fun refused(reason: String) = IntakeResponse.Refused(reason, RETRY_AFTER_SECONDS)

    private fun patienceMillis(request: IntakeRequest, jobClass: JobClass): Long {
        val caller = request.patience?.inWholeMilliseconds ?: DEFAULT_PATIENCE_MILLIS
        val operator = jobClass.timeoutMillis.takeIf { it > 0 } ?: DEFAULT_PATIENCE_MILLIS
        return (minOf(caller, operator) - ANSWER_MILLIS).coerceAtLeast(0)
    }

    private fun log(
        request: IntakeRequest,
        jobClass: JobClass,
        id: String,
        config: OperatorConfig,
        answer: IntakeResponse,
        millis: Long,
    ) {
        logger.event(
            Level.INFO,
            "request answered",
            "call" to request::class.simpleName,
            "job" to id,
            "class" to jobClass.id,
            "configVersion" to config.version,
            "answer" to answer,
            "millis" to millis,
        )
    }

    private companion object {
        /** Used when neither the caller nor the operators say how long a request may take. */
        const val DEFAULT_PATIENCE_MILLIS = 3_000L

        /** A write that stays open for longer is left to a repetition by the caller. */
        const val MAX_WRITE_MILLIS = 1_600L

        /** Left for the answer to reach the caller. */
        const val ANSWER_MILLIS = 100L

        /** An outage of the store shows within this time whether it lasts. */
        const val RETRY_AFTER_SECONDS = 1
        const val ID_LENGTH = 16

        fun isId(text: String): Boolean =
            text.length == ID_LENGTH && text.all { it in '0'..'9' || it in 'a'..'f' || it in 'A'..'F' }
    }
}

/** Final states of jobs, which never change; the oldest are forgotten. */
private class FinalPhases {
    private val phases = object : LinkedHashMap<String, JobPhase>() {
        override fun removeEldestEntry(eldest: Map.Entry<String, JobPhase>): Boolean = size > CAPACITY
    }

    operator fun get(id: String): JobPhase? = synchronized(phases) { phases[id] }

    operator fun set(id: String, phase: JobPhase): Unit = synchronized(phases) { phases[id] = phase }

    private companion object {
        /** About 1 MB. */
        const val CAPACITY = 8_192
    }
}
