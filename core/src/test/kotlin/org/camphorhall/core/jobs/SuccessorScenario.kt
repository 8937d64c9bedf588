package org.camphorhall.core.jobs

import org.camphorhall.core.jobs.ShardHarness.Companion.profile
import org.camphorhall.core.jobs.ShardHarness.Companion.record
import org.camphorhall.core.jobs.ShardHarness.Companion.step
import kotlin.random.Random

/**
 * A shard, its store and three workers under the random steps of one [seed]. After the steps either the same owner goes
 * on or a successor recovers from the store, on new connections and without further disturbances.
 */
internal class SuccessorScenario(seed: Long) {
    /** What the owner did after the steps, in effective commands: a stop of an attempt that has ended is none. */
    data class Outcome(
        val stoppedAtOnce: Set<String>,
        val stopped: Set<String>,
        val started: Set<String>,
        val running: Set<String>,
        val phases: Map<String, JobPhase?>,
    )

    private class Run(val task: TaskRef, val attempt: Int) {
        var doneAt = Long.MAX_VALUE

        override fun toString() = "$task attempt $attempt"
    }

    private class Worker(val n: Int) {
        var startedAt = 1L
        var isDraining = false
        var session: Long? = null
        var lastCompleted = 0L
        var lastEnd = 0L
        val commands = ArrayDeque<WorkerCommand>()
        val running = mutableListOf<Run>()
        val ended = mutableListOf<AttemptEnd>()
        val rejected = mutableListOf<RejectedStart>()
    }

    private val random = Random(seed)
    private val workers = List(WORKERS) { Worker(it) }
    private val jobs = LinkedHashMap<String, JobRecord>()
    private val cancelled = LinkedHashSet<String>()
    private val progress = HashMap<String, ProgressRecord>()
    private val started = sortedSetOf<String>()
    private val stopped = sortedSetOf<String>()
    private val events = mutableListOf<String>()
    private var shard = JobShard()
    private var isOmitted: (WorkerCommand) -> Boolean = { false }
    private var now = 1_000L
    private var lastSession = 0L
    private var revision = 0L
    private var isCalm = false

    /** Whether the store has all that the owner has decided. */
    var isStored = true
        private set

    /** All logged events, oldest first. */
    fun log(): String = events.joinToString("\n")

    /** Takes one random step. */
    fun step() {
        now += random.nextLong(0, 100)
        val w = workers.random(random)
        when (random.nextInt(26)) {
            in 0..2 -> acceptJob()
            3, 4 -> cancelJob()
            in 5..9 -> report(w)
            10 -> report(w, isComplete = false)
            11 -> report(w, omitted = w.running.randomOrNull(random))
            in 12..15 -> execute(w)
            in 16..18 -> endRun(w)
            in 19..21 -> tick(random.nextLong(100, 600))
            22 -> disconnect(w)
            23 -> restart(w)
            24 -> w.isDraining = w.isDraining || w.n > 0 && random.nextInt(3) == 0
            else -> isStored = !isStored
        }
        settle()
    }

    /** Lets the owner go on until calm, after it has learned of all that is stored. */
    fun continueUntilCalm(): Outcome {
        workers.forEach(::disconnect)
        jobs.values.forEach { shard.accept(it, now) }
        cancelled.forEach { shard.cancel(it, now) }
        return awaitCalm()
    }

    /** Lets a successor recover from what [read] returns for each stored job, and go on until calm. */
    fun recoverUntilCalm(omitsStopsOfEnded: Boolean, read: (StoredJob) -> StoredJob): Outcome {
        workers.forEach(::disconnect)
        shard = JobShard()
        val stored = jobs.values.map { StoredJob(it, progress[it.id], revision, it.id in cancelled) }
        val ended = stored.filter { it.progress?.phase?.isFinal ?: false }.map { it.record.id }.toSet()
        isOmitted = { omitsStopsOfEnded && it is WorkerCommand.Stop && it.task.job in ended }
        shard.recover(stored.map(read), now + RECOVERED_LEASE_MILLIS, now)
        return awaitCalm()
    }

    private fun awaitCalm(): Outcome {
        isCalm = true
        isStored = true
        workers.flatMap { it.running }.forEach { it.doneAt = doneAt(it.task) }
        var stoppedAtOnce = emptySet<String>()
        repeat(CALM_TICKS) { i ->
            if (i == AT_ONCE_TICKS) stoppedAtOnce = stopped.toSet()
            // The owner decides once it has the lists of all workers.
            workers.forEach { report(it) }
            settle()
            tick(TICK_MILLIS)
            settle()
            workers.forEach(::execute)
            workers.forEach(::endDue)
        }
        val running = workers.flatMap { it.running }.map { it.toString() }.toSortedSet()
        return Outcome(stoppedAtOnce, stopped, started, running, jobs.keys.associateWith(shard::phaseOf))
    }

    private fun acceptJob() {
        if (jobs.size == MAX_JOBS) return
        val isLongRunning = random.nextInt(3) == 0
        val steps = List(if (isLongRunning) 1 else random.nextInt(1, 3)) { i ->
            step(random.nextInt(1, 4), cpu = 200, after = if (i == 0) emptyList() else listOf(i - 1))
                .copy(longRunning = isLongRunning, gang = !isLongRunning && random.nextInt(3) == 0)
        }
        val job = record(steps, "job-${jobs.size}", maxAttempts = random.nextInt(1, 4))
        jobs[job.id] = job
        if (random.nextInt(3) > 0) shard.accept(job, now)
    }

    private fun cancelJob() {
        val id = jobs.keys.randomOrNull(random) ?: return
        cancelled += id
        if (random.nextInt(3) > 0) shard.cancel(id, now)
    }

    private fun report(w: Worker, isComplete: Boolean = true, omitted: Run? = null) {
        val session = w.session ?: ++lastSession
        w.session = session
        // The progress of a throttled task does not indicate that its worker is slow.
        val rows = w.running.filter { it !== omitted }.map { RunningAttempt(it.task, it.attempt, share = 50) }
        val report = WorkerReport(
            profile(w.n, w.startedAt, w.isDraining),
            running = if (isComplete) rows else emptyList(),
            ended = w.ended.toList(),
            rejected = w.rejected.toList(),
            lastCompletedCommand = w.lastCompleted,
            remainingLeaseMillis = 3_000,
            isComplete = isComplete,
            connection = session,
        )
        w.rejected.clear()
        shard.report(session, report, now)
    }

    private fun tick(millis: Long) {
        now += millis
        shard.tick(now)
    }

    private fun disconnect(w: Worker) {
        w.session?.let(shard::detach)
        w.session = null
        w.lastCompleted = 0
        w.commands.clear()
    }

    private fun restart(w: Worker) {
        disconnect(w)
        w.startedAt++
        w.isDraining = false
        w.lastEnd = 0
        w.running.clear()
        w.ended.clear()
        w.rejected.clear()
    }

    private fun endRun(w: Worker) {
        val run = w.running.randomOrNull(random) ?: return
        val isFailure = isLongRunning(run.task) || random.nextInt(3) == 0
        end(w, run, if (isFailure) EndCause.Failed else EndCause.Done)
    }

    private fun endDue(w: Worker) = w.running.filter { now >= it.doneAt }.forEach { end(w, it, EndCause.Done) }

    private fun end(w: Worker, run: Run, cause: EndCause) {
        w.running -= run
        w.ended += AttemptEnd(++w.lastEnd, run.task, run.attempt, cause)
    }

    private fun execute(w: Worker) {
        while (true) {
            val command = w.commands.removeFirstOrNull() ?: return
            when (command) {
                is WorkerCommand.Start -> start(w, command)
                is WorkerCommand.Stop -> stop(w, command)
            }
            w.lastCompleted = command.number
        }
    }

    private fun start(w: Worker, command: WorkerCommand.Start) {
        if (w.isDraining) {
            w.rejected += RejectedStart(command.task, command.attempt, "worker drains")
            return
        }
        val run = Run(command.task, command.attempt)
        w.running += run
        if (!isCalm) return
        run.doneAt = doneAt(run.task)
        started += run.toString()
    }

    private fun stop(w: Worker, command: WorkerCommand.Stop) {
        val run = w.running.find { it.task == command.task && it.attempt == command.attempt } ?: return
        if (isOmitted(command)) return
        end(w, run, EndCause.Stopped)
        if (isCalm) stopped += run.toString()
    }

    private fun isLongRunning(task: TaskRef) = jobs.getValue(task.job).spec.steps[task.step].longRunning

    private fun doneAt(task: TaskRef) = if (isLongRunning(task)) Long.MAX_VALUE else now + RUN_MILLIS

    /** Places tasks, stores what the owner has decided if the store responds, and takes the outputs. */
    private fun settle() {
        shard.place(now, now)
        do {
            takeOutputs()
            val commit = if (isStored) shard.nextCommit() else null
            if (commit != null) {
                revision++
                commit.writes.forEach { progress[it.job] = it.record }
                shard.committed(commit, revision, now)
            }
        } while (commit != null)
        takeOutputs()
    }

    private fun takeOutputs() {
        for (o in shard.takeOutputs()) {
            when (o) {
                is ShardOutput.Send -> workers.find { it.session == o.session }?.let { it.commands += o.command }
                is ShardOutput.AcknowledgeEnds ->
                    workers.find { it.session == o.session }?.ended?.removeAll { it.number <= o.number }
                is ShardOutput.LogEvent ->
                    events += "$now ${o.event} ${o.task ?: o.job} ${o.attempt} ${o.worker} ${o.detail}"
            }
        }
    }

    private companion object {
        const val WORKERS = 3
        const val MAX_JOBS = 5
        const val RUN_MILLIS = 1_000L
        const val TICK_MILLIS = 100L

        /** Grace and lease that a successor assumes for workers that do not report. */
        const val RECOVERED_LEASE_MILLIS = 6_250L

        /** Ends before the first run is done. */
        const val AT_ONCE_TICKS = 9

        /** Longer than quarantine and probation of a worker, and two steps after them. */
        const val CALM_TICKS = 250
    }
}
