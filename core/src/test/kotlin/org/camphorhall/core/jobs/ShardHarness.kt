package org.camphorhall.core.jobs

import org.camphorhall.core.model.Resources

/** Drives a [JobShard] with a store that always responds and workers that execute all commands. */
internal class ShardHarness(
    settings: JobShardSettings = JobShardSettings(),
    rankByRoom: RoomRanking = ::rankByRoom,
) {
    val shard = JobShard(settings, rankByRoom)
    var now = 1_000L
    val starts = mutableListOf<Pair<Long, WorkerCommand.Start>>()
    val stops = mutableListOf<Pair<Long, WorkerCommand.Stop>>()
    val acknowledged = mutableMapOf<Long, Long>()
    var acknowledgements = 0
    val logEvents = mutableListOf<ShardOutput.LogEvent>()

    /** Ends that the test has reported. */
    val ends = mutableListOf<AttemptEnd>()
    val records = linkedMapOf<String, ProgressRecord>()
    private var revision = 0L

    /** Executes the outputs and commits of the shard until there are none. */
    fun settle(isStoreUp: Boolean = true) {
        shard.place(now, now)
        do {
            processOutputs()
            val commit = if (isStoreUp) shard.nextCommit() else null
            if (commit != null) {
                revision++
                commit.writes.forEach { records[it.job] = it.record }
                shard.committed(commit, revision, now)
            }
        } while (commit != null)
        processOutputs()
    }

    fun tick(millis: Long) {
        now += millis
        shard.tick(now)
        settle()
    }

    /** Sends a report of worker [n] on connection [session]; by default it runs all started attempts. */
    fun report(
        n: Int,
        session: Long = n.toLong(),
        running: List<RunningAttempt> = runningOn(session),
        ended: List<AttemptEnd> = emptyList(),
        lastCompletedCommand: Long = lastCommand(session),
        change: (WorkerReport) -> WorkerReport = { it },
    ) {
        val report = WorkerReport(
            profile(n),
            running,
            ended,
            lastCompletedCommand = lastCompletedCommand,
            remainingLeaseMillis = 3_000,
        )
        shard.report(session, change(report), now)
        settle()
    }

    /** All attempts that were started on [session] and not stopped. */
    fun runningOn(session: Long): List<RunningAttempt> = starts.filter { it.first == session }
        .filter { (_, o) -> stops.none { it.second.task == o.task && it.second.attempt == o.attempt } }
        .map { (_, o) -> RunningAttempt(o.task, o.attempt) }

    private fun lastCommand(session: Long): Long =
        (starts + stops).filter { it.first == session }.maxOfOrNull { it.second.number } ?: 0

    private fun processOutputs() {
        for (o in shard.takeOutputs()) {
            when (o) {
                is ShardOutput.Send -> when (val command = o.command) {
                    is WorkerCommand.Start -> starts += o.session to command
                    is WorkerCommand.Stop -> stops += o.session to command
                }
                is ShardOutput.AcknowledgeEnds -> {
                    acknowledged[o.session] = o.number
                    acknowledgements++
                }
                is ShardOutput.LogEvent -> logEvents += o
            }
        }
    }

    companion object {
        const val JOB = "00000000000000aa"

        fun profile(n: Int, startedAt: Long = 1, draining: Boolean = false) = WorkerProfile(
            WorkerKey("instance-$n", "worker-$n", startedAt),
            "service",
            "zone",
            Resources(10_000, 10_000),
            listOf("a", "rack-${n % 2}"),
            draining,
        )

        fun record(steps: List<StepSpec>, id: String = JOB, maxAttempts: Int = 2, repeat: Repeat? = null) = JobRecord(
            id,
            JobSpec("payload", steps, repeat),
            JobClass("class", "service", 0, maxAttempts, 1.5, 250, 3_000),
            acceptedAtMillis = 0,
        )

        fun step(tasks: Int, cpu: Long = 1_000, after: List<Int> = emptyList()) =
            StepSpec(tasks, Resources(cpu, 100), estimateMillis = 1_000, after = after)

        fun end(number: Long, o: WorkerCommand.Start, cause: EndCause, checkpoint: String = "") =
            AttemptEnd(number, o.task, o.attempt, cause, checkpoint)
    }
}
