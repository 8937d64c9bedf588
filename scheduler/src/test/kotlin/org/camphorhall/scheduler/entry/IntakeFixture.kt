package org.camphorhall.scheduler.entry

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import org.camphorhall.core.jobs.JobClass
import org.camphorhall.core.jobs.JobSpec
import org.camphorhall.core.jobs.ShardLoad
import org.camphorhall.core.jobs.StepSpec
import org.camphorhall.core.model.Resources
import org.camphorhall.platform.intake.CallAddress
import org.camphorhall.platform.intake.IntakeRequest
import org.camphorhall.platform.intake.IntakeResponse
import org.camphorhall.platform.operator.ClassRoute
import org.camphorhall.platform.operator.OperatorConfig
import org.camphorhall.platform.store.TransactionalStore
import org.camphorhall.process.Metrics
import org.camphorhall.scheduler.peer.PeerSockets
import org.camphorhall.scheduler.support.Clock
import org.camphorhall.scheduler.support.JobRecordStore
import org.camphorhall.scheduler.support.JobRefusals
import org.camphorhall.scheduler.support.OwnerClient
import org.camphorhall.scheduler.support.OwnerFinder
import org.camphorhall.scheduler.support.ShardKeys
import org.camphorhall.scheduler.support.SystemClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Entries of one shard over [store], without an owner, and callers who wait [patience] for responses. */
internal class IntakeFixture(
    private val store: TransactionalStore,
    private val clock: Clock = SystemClock,
    private val scope: CoroutineScope = CoroutineScope(SupervisorJob() + Dispatchers.Default),
    private val patience: Duration = 500.milliseconds,
) : AutoCloseable {
    private val sockets = PeerSockets()
    private val keys = ShardKeys(0)
    private val jobClass = JobClass("class", "service", 0, maxAttempts = 2, 1.5, 250, 3_000)
    private val config = OperatorConfig(1, listOf(ClassRoute(HOST, PREFIX, jobClass)), maxBodyBytes = 262_144)

    /** A caller's requests to one entry process. */
    inner class Entry(loads: List<ShardLoad> = emptyList()) {
        private val records = JobRecordStore(store, shards = 1)
        private val intake = SchedulerJobIntake(
            config = { config },
            records = records,
            refusals = JobRefusals(store, records, shards = 1),
            owners = OwnerRequestClient(OwnerClient(sockets, scope), listOf(OwnerFinder(store, keys))),
            scope = scope,
            clock = clock,
            metrics = IntakeMetrics(Metrics()),
            writer = RecordWriter(clock),
            isConfigFresh = { true },
            overload = OverloadView(clock, 1).also { it.update(0, loads) },
            shards = 1,
        )

        suspend fun submit(job: String, spec: JobSpec = SPEC): IntakeResponse =
            intake.handle(IntakeRequest.Submit(address(job), patience, spec, bodyBytes = 100))

        suspend fun cancel(job: String): IntakeResponse = intake.handle(IntakeRequest.Cancel(address(job), patience))

        suspend fun show(job: String): IntakeResponse = intake.handle(IntakeRequest.Show(address(job), patience))
    }

    /** Whether a record of [job] is stored. */
    suspend fun isStored(job: String): Boolean = store.get(keys.job(job)).getOrNull() != null

    override fun close() {
        scope.cancel()
        sockets.close()
    }

    private fun address(job: String) = CallAddress(HOST, PREFIX + job)

    private companion object {
        const val HOST = "host"
        const val PREFIX = "/jobs/"
        val SPEC = JobSpec("payload", listOf(StepSpec(1, Resources(1_000, 100))))
    }
}
