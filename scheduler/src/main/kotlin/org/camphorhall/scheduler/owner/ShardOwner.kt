package org.camphorhall.scheduler.owner

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.camphorhall.core.jobs.Commit
import org.camphorhall.core.jobs.JobShard
import org.camphorhall.core.jobs.JobShardSettings
import org.camphorhall.core.jobs.ShardOutput
import org.camphorhall.core.jobs.ShardSummary
import org.camphorhall.core.jobs.WorkerCommand
import org.camphorhall.process.event
import org.camphorhall.scheduler.protocol.OwnerMessage
import org.camphorhall.scheduler.protocol.OwnerRequest
import org.camphorhall.scheduler.protocol.OwnerResponse
import org.camphorhall.scheduler.support.Clock
import org.camphorhall.scheduler.support.ClockReading
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Runs a [JobShard] while this process owns it. All decisions are made in one loop. */
internal class ShardOwner(
    private val ownership: Ownership,
    private val records: ShardStore,
    private val settings: JobShardSettings,
    private val clock: Clock,
    private val onWritten: (Commit) -> Unit = {},
) {
    private val shard = JobShard(settings)
    private val events = Channel<OwnerEvent>(Channel.UNLIMITED)

    /** Connections of agents. Also read by [close], which runs beside the loop. */
    private val sessions = ConcurrentHashMap<Long, AgentSession>()
    private val epoch = ownership.epoch
    private var healthPaths = emptyMap<String, String>()
    private var isWriting = false

    @Volatile
    private var isLost = false

    /** When the loop last handled a tick, on the steady clock; 0 before the shard is loaded. */
    @Volatile
    private var tickedAt = 0L

    /** How long the loop has not come to its ticks, in milliseconds. */
    fun lagMillis(): Long = tickedAt.let { if (it == 0L) 0 else clock.steady() - it }

    fun send(event: OwnerEvent) {
        events.trySend(event)
    }

    /** Handles [question] once the shard is loaded. */
    suspend fun ask(question: OwnerRequest): OwnerResponse {
        val reply = CompletableDeferred<OwnerResponse>()
        send(OwnerEvent.Asked(question, reply))
        return withTimeoutOrNull(ANSWER_TIMEOUT) { reply.await() } ?: OwnerResponse.NotOwner
    }

    /**
     * Loads the shard and decides until its ownership is lost. Workers that do not report are taken to run what was
     * recorded for [graceMillis] and a lease.
     */
    suspend fun run(graceMillis: Long): Unit = coroutineScope {
        val loaded = load()
        val now = clock.steady()
        val leasesEndAt = now + graceMillis + settings.leaseMillis + settings.leaseSlackMillis
        shard.recover(loaded.jobs, leasesEndAt, now)
        logger.event(Level.INFO, "shard loaded", "epoch" to epoch, "jobs" to loaded.jobs.size, "grace" to graceMillis)
        tickedAt = clock.steady()
        launch { followInbox(loaded.revision) }
        launch { tick() }
        launch { summarize() }
        while (!isLost) {
            handle(events.receive())
            var next = events.tryReceive().getOrNull()
            while (next != null && !isLost) {
                handle(next)
                next = events.tryReceive().getOrNull()
            }
            if (!isLost) decide(this)
        }
        // A write under way is not waited for: the records of the next owner decide.
        coroutineContext.cancelChildren()
    }

    /** Ends the loop and all connections. */
    fun close() {
        isLost = true
        send(OwnerEvent.Tick)
        sessions.values.forEach { it.outgoing.close() }
        var left = events.tryReceive().getOrNull()
        while (left != null) {
            (left as? OwnerEvent.Asked)?.reply?.complete(OwnerResponse.NotOwner)
            left = events.tryReceive().getOrNull()
        }
    }

    private suspend fun load(): ShardStore.Loaded {
        while (true) {
            records.load().fold(
                { logger.event(Level.WARN, "shard not loaded yet", "epoch" to epoch, "reason" to it) },
                { return it },
            )
            delay(LOAD_RETRY)
        }
    }

    private suspend fun followInbox(from: Long) {
        var revision = from
        while (true) {
            records.awaitInbox(revision).fold(
                { error ->
                    logger.event(Level.INFO, "inbox not followed", "after" to revision, "reason" to error)
                    delay(LOAD_RETRY)
                    revision = relist() ?: revision
                },
                { change ->
                    revision = change.revision
                    if (change.jobs.isNotEmpty() || change.cancelled.isNotEmpty()) {
                        send(OwnerEvent.Found(change.jobs, change.cancelled))
                    }
                },
            )
            delay(WATCH_GAP)
        }
    }

    /** Reads the inbox whole, because a watch may have missed changes. */
    private suspend fun relist(): Long? {
        val all = records.load().getOrNull() ?: return null
        send(OwnerEvent.Found(all.jobs.map { it.record }, all.jobs.filter { it.cancelled }.map { it.record.id }))
        return all.revision
    }

    private suspend fun tick() {
        while (true) {
            delay(TICK)
            send(OwnerEvent.Tick)
        }
    }

    private suspend fun summarize() {
        while (true) {
            delay(SUMMARY)
            send(OwnerEvent.Summarize)
        }
    }

    private fun logSummary(s: ShardSummary) {
        logger.event(
            Level.INFO,
            "shard summary",
            "epoch" to epoch,
            "workers" to s.workers,
            "usableWorkers" to s.usableWorkers,
            "activeJobs" to s.activeJobs,
            "waitingJobs" to s.waitingJobs,
            "runningTasks" to s.runningTasks,
            "cpuMillis" to s.cpuMillis,
            "reservedCpuMillis" to s.reservedCpuMillis,
            "backfillCpuMillis" to s.backfillCpuMillis,
            "unsavedJobs" to s.unsavedJobs,
            "fitChecks" to s.fitChecks,
            "mayGrant" to ownership.mayGrant,
        )
    }

    private suspend fun handle(e: OwnerEvent) {
        val now = clock.steady()
        when (e) {
            is OwnerEvent.Reported -> report(e, now)
            is OwnerEvent.Detached -> {
                sessions.remove(e.session.id)
                shard.detach(e.session.id)
            }
            is OwnerEvent.Asked -> e.reply.complete(answer(e.question, now))
            is OwnerEvent.Found -> {
                e.jobs.forEach { shard.accept(it, now) }
                e.cancelled.forEach { shard.cancel(it, now) }
            }
            is OwnerEvent.Configured -> {
                healthPaths = e.config.healthPaths
                shard.configure(e.config.classes)
            }
            is OwnerEvent.Written -> written(e, now)
            OwnerEvent.Summarize -> logSummary(shard.summary(now))
            OwnerEvent.Tick -> {
                tickedAt = now
                shard.tick(now)
                val old = shard.expire(now)
                if (old.isNotEmpty()) records.forget(old, ownership.epochRevision)
            }
        }
    }

    private fun report(e: OwnerEvent.Reported, now: Long) {
        sessions[e.session.id] = e.session
        shard.report(e.session.id, e.message.report, now)
        if (!e.session.isAnswerDue(now)) return
        val mayGrant = ownership.mayGrant
        val traits = if (e.session.knowsTraits) emptyMap() else shard.taskProfiles(e.session.id)
        e.session.knowsTraits = true
        e.session.send(
            OwnerMessage(
                epoch,
                inResponseTo = e.message.sentAt,
                leaseMillis = if (mayGrant) settings.leaseMillis else 0,
                taskProfiles = traits,
                interference = e.session.newsOf(shard.interference(e.session.id)),
                healthPath = healthPaths[e.message.report.profile.service],
            ),
        )
    }

    private fun answer(q: OwnerRequest, now: Long): OwnerResponse = when (q) {
        is OwnerRequest.JobStored -> OwnerResponse.Acknowledged.also { shard.accept(q.record, now) }
        is OwnerRequest.CancellationStored -> OwnerResponse.Acknowledged.also { shard.cancel(q.id, now) }
        is OwnerRequest.GetPhase -> OwnerResponse.Phase(shard.phaseOf(q.id))
        is OwnerRequest.CountPending -> OwnerResponse.PendingCount(shard.pending(q.classId))
        // Answered by the process without its shard.
        is OwnerRequest.StoreJob, is OwnerRequest.StoreCancellation -> OwnerResponse.NotOwner
        is OwnerRequest.Resign -> {
            if (q.epoch > epoch) isLost = true
            OwnerResponse.Acknowledged
        }
    }

    private fun written(e: OwnerEvent.Written, now: Long) {
        isWriting = false
        if (e.revision == null) {
            logger.event(Level.WARN, "shard lost: another owner has written the epoch", "epoch" to epoch)
            isLost = true
            return
        }
        shard.committed(e.commit, e.revision, now)
        onWritten(e.commit)
    }

    private fun decide(scope: CoroutineScope) {
        shard.place(clock.steady(), clock.wall())
        deliver()
        if (isWriting) return
        val commit = shard.nextCommit() ?: return
        isWriting = true
        scope.launch {
            val reading = ClockReading(clock)
            val revision = records.write(commit, ownership.epochRevision)
            if (revision != null) ownership.noteWritten(reading)
            send(OwnerEvent.Written(commit, revision))
        }
    }

    /** Sends the decisions, one message for each agent. */
    private fun deliver() {
        val orders = HashMap<Long, MutableList<WorkerCommand>>()
        val ends = HashMap<Long, Long>()
        for (o in shard.takeOutputs()) {
            when (o) {
                is ShardOutput.Send -> orders.getOrPut(o.session) { mutableListOf() } += o.command
                is ShardOutput.AcknowledgeEnds -> ends[o.session] = o.number
                is ShardOutput.LogEvent -> log(o)
            }
        }
        for (id in orders.keys + ends.keys) {
            val session = sessions[id] ?: continue
            val news = if (id in orders) session.newsOf(shard.interference(id)) else emptyList()
            session.send(
                OwnerMessage(epoch, commands = orders[id].orEmpty(), lastStoredEnd = ends[id], interference = news),
            )
        }
    }

    private fun log(n: ShardOutput.LogEvent) {
        logger.event(
            Level.INFO,
            n.event,
            "job" to n.job,
            "task" to n.task,
            "attempt" to n.attempt,
            "worker" to n.worker,
            "detail" to n.detail,
            "ranMillis" to n.ranMillis,
            "epoch" to epoch,
        )
    }

    private companion object {
        /** Callers wait for less; an unanswered question belongs to a loop that has ended. */
        val ANSWER_TIMEOUT = 2_000.milliseconds

        val SUMMARY = 2_000.milliseconds

        /** Between two looks at expired leases and due jobs. */
        val TICK = 100.milliseconds

        /** Before a failed read is repeated. */
        val LOAD_RETRY = 200.milliseconds

        /** Between two watches, so that a burst of changes costs few calls. */
        val WATCH_GAP = 250.milliseconds
    }
}
