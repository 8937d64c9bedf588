package org.camphorhall.core.shard

import org.camphorhall.core.agent.AttemptPhase
import org.camphorhall.core.agent.StopCommand
import org.camphorhall.core.config.ConfigItem
import org.camphorhall.core.config.Configuration
import org.camphorhall.core.model.AttemptId
import org.camphorhall.core.model.ClassName
import org.camphorhall.core.model.ClockReading
import org.camphorhall.core.model.JobId
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.Resources
import org.camphorhall.core.model.Target
import org.camphorhall.core.model.TaskId
import org.camphorhall.core.model.TenantName
import org.camphorhall.core.model.WorkClass
import org.camphorhall.core.model.WorkerId
import org.camphorhall.core.routing.WorkerInfo
import org.camphorhall.core.routing.WorkerSnapshot
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** Tests that a new owner of a shard acts on its page and the heartbeats alone. */
internal class JobShardSuccessionTest {
    /** State of the task that the earlier owner stored while a worker runs [RUNNING]. */
    enum class Stored(val state: TaskState?, val expected: Reason?) {
        Wanted(assigned(RUNNING, started = true), expected = null),
        Cancelled(assigned(RUNNING, started = true, stop = Reason.Cancelled), Reason.Cancelled),
        CancelledBeforeItsStart(assigned(RUNNING, started = false, stop = Reason.Cancelled), Reason.Cancelled),
        LaterAttempt(assigned(RUNNING.copy(attempt = 2), started = true, on = OTHER_WORKER), Reason.Stale),
        Queued(TaskState.Queued, Reason.Stale),
        Done(TaskState.Done(null), Reason.Stale),
        Failed(TaskState.Failed(Reason.WorkFailed), Reason.Stale),
        CancelledAndEnded(TaskState.Cancelled, Reason.Stale),
        JobRemoved(state = null, Reason.Stale),
    }

    private val machine = JobShardMachine()
    private val spec = SingleStepJobSpec(CLASS, TenantName("t"), Resources(100, 100))
    private val config = Configuration().change(ConfigItem.OfClass(WorkClass(CLASS, Target.FinishBy(60_000)), 0))
    private var millis = 0L
    private var state = JobShardState.acquired(0, EPOCH, writer = "e", now = MonotonicInstant(0))
    private val snapshot = WorkerSnapshot().put(info())
    private val actions = mutableListOf<JobShardAction>()

    /** Guards against an attempt that runs on because only the earlier owner knew that it has to stop. */
    @ParameterizedTest
    @EnumSource(Stored::class)
    fun `a new owner stops the attempts that its page does not want until they end`(stored: Stored) {
        establish(stored.state)
        repeat(HEARTBEATS) { heartbeat(AttemptPhase.Running) }
        val stops = actions.filterIsInstance<JobShardAction.RespondToHeartbeat>().map { it.stops }
        val expected = listOfNotNull(stored.expected?.let { StopCommand(RUNNING, 0, EPOCH, it) })
        expectThat(stops).isEqualTo(List(HEARTBEATS) { expected })
        expectThat(starts().filter { it.id == RUNNING }).isEmpty()
    }

    /** Guards against a stop that waits for the next heartbeat of the worker. */
    @ParameterizedTest
    @EnumSource(Stored::class, names = ["Cancelled", "CancelledBeforeItsStart"])
    fun `a new owner sends and repeats the stop of a cancelled attempt by itself`(stored: Stored) {
        establish(stored.state)
        step(JobShardEvent.Tick, after = 0)
        repeat(2) { step(JobShardEvent.Tick, after = 1_000) }
        val stops = actions.filterIsInstance<JobShardAction.Command>().flatMap { it.stops }
        expectThat(stops).isEqualTo(List(stops.size) { StopCommand(RUNNING, 0, EPOCH, Reason.Cancelled) })
        expectThat(stops).hasSize(3)
    }

    /** Guards against a task of a cancelled job that is placed again because its end was reported to a new owner. */
    @ParameterizedTest
    @EnumSource(AttemptPhase::class, names = ["Finished", "Failed", "Stopped", "Refused"])
    fun `a cancelled attempt that ends under a new owner is not placed again`(end: AttemptPhase) {
        establish(Stored.Cancelled.state)
        heartbeat(end)
        written()
        step(JobShardEvent.Tick, after = 1_000)
        val expected = if (end == AttemptPhase.Finished) TaskState.Done(null) else TaskState.Cancelled
        expectThat(state.commit.durable.task(RUNNING.task)?.state).isEqualTo(expected)
        expectThat(starts()).isEmpty()
        actions.clear()
        heartbeat(end)
        val response = actions.filterIsInstance<JobShardAction.RespondToHeartbeat>().single()
        expectThat(response.acknowledged).containsExactly(RUNNING)
    }

    /** Guards against a task of a cancelled job that starts again once the lease of a silent worker has ended. */
    @Test
    fun `a cancelled attempt on a silent worker ends with its lease`() {
        establish(Stored.Cancelled.state)
        step(JobShardEvent.Tick, after = SETTINGS.ownerGrace.inWholeMilliseconds)
        expectThat(state.page.task(RUNNING.task)?.state).isEqualTo(Stored.Cancelled.state)
        step(JobShardEvent.Tick, after = SETTINGS.ownerGrace.inWholeMilliseconds)
        expectThat(state.page.task(RUNNING.task)?.state).isEqualTo(TaskState.Cancelled)
        expectThat(starts()).isEmpty()
    }

    private fun starts() = actions.filterIsInstance<JobShardAction.Command>().flatMap { it.starts }

    private fun step(event: JobShardEvent, after: Long = 1) {
        millis += after
        val now = ClockReading(MonotonicInstant(millis * NANOS_PER_MILLI), millis)
        val t = machine.step(state, event, now, snapshot, config)
        state = t.state
        actions += t.actions
    }

    private fun written() = step(
        JobShardEvent.PageResponse(PageEvent.Written(state.commit.inFlight!!.token, state.commit.version + 1)),
    )

    private fun heartbeat(phase: AttemptPhase) =
        step(JobShardEvent.HeartbeatReceived(1, WORKER, 1, EPOCH, listOf(AttemptReport(RUNNING, phase))), after = 100)

    /** Reads a page whose only task is in [stored], or without a job if it is null, and fences the earlier owner. */
    private fun establish(stored: TaskState?) {
        val cancelled = (stored as? TaskState.Assigned)?.stopReason != null
        val jobs = stored?.let { s ->
            val task = TaskRecord(s, attempts = 2, notBeforeMillis = Long.MAX_VALUE)
            SingleStepJobRecord(JOB, spec, 0, 60_000, urgent = false, listOf(task), cancelled)
        }
        val page = JobPage().let { p -> if (jobs == null) p else p.copy(jobs = p.jobs.put(JOB, jobs)) }
        step(JobShardEvent.Tick)
        step(JobShardEvent.PageResponse(PageEvent.Read(1, EPOCH - 1, "earlier", page)))
        step(JobShardEvent.Tick, after = 100)
        written()
        actions.clear()
    }

    private fun info(): WorkerInfo {
        val now = MonotonicInstant(0)
        val none = Resources.None
        return WorkerInfo(WORKER, "w:1", "d", "r", 1, now, now, Resources(1_000, 1_000), none, none, draining = false)
    }

    private companion object {
        const val EPOCH = 3L
        const val HEARTBEATS = 5
        const val NANOS_PER_MILLI = 1_000_000
        val SETTINGS = ShardSettings()
        val CLASS = ClassName("reports")
        val JOB = JobId("j")
        val WORKER = WorkerId("w")
        val OTHER_WORKER = WorkerId("other")
        val RUNNING = AttemptId(TaskId("j.0"), epoch = EPOCH - 1, attempt = 1)

        fun assigned(id: AttemptId, started: Boolean, stop: Reason? = null, on: WorkerId = WORKER) =
            TaskState.Assigned(id, on, incarnation = 1, started, stop)
    }
}
