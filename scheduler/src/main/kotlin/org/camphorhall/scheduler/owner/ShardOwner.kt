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
import org.camphorhall.core.jobs.ShardLoad
import org.camphorhall.core.jobs.ShardOutput
import org.camphorhall.core.jobs.ShardSummary
import org.camphorhall.core.jobs.WithdrawnJobs
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

/** Runs a [JobShard] while this process owns it. A single loop makes all decisions. */
internal class ShardOwner(
    private val ownership: Ownership,
    private val records: ShardStore,
    private val settings: JobShardSettings,
    private val clock: Clock,
    private val onCommitted: (Commit) -> Unit = {},
) {
    private val shard = JobShard(settings)
    private val events = Channel<OwnerEvent>(Channel.UNLIMITED)

    private val withdrawn = WithdrawnJobs(settings.retentionMillis)
    private val cleanups = Channel<Cleanup>(Channel.UNLIMITED)
    private var cleanedAt: Long? = null

    /** Connections of agents. Also read by [close], which runs concurrently with the loop. */
    private val sessions = ConcurrentHashMap<Long, AgentSession>()
    private val epoch = ownership.epoch
    private var healthPaths = emptyMap<String, String>()
    private val acquiredAt = clock.steady()
    private val acquiredWall = clock.wall()
    private var isWriting = false
    private var loads = emptyList<ShardLoad>()
    private var loadsAt = Long.MIN_VALUE / 2
    private val log = ShardLog(epoch, clock)

    @Volatile
    private var isClosed = false

    /** The owner that asked this one to resign; null if none has. */
    @Volatile
    var successor: ShardOwnerRecord? = null
        private set

    /** When the loop last handled a tick, on the steady clock; 0 before the shard is loaded. */
    @Volatile
    private var tickedAt = 0L

    /** Time since the loop last handled a tick, in milliseconds; 0 before the shard is loaded. */
    fun lagMillis(): Long = tickedAt.let { if (it == 0L) 0 else clock.steady() - it }

    fun send(event: OwnerEvent) {
        events.trySend(event)
    }

    /** Handles [request] once the shard is loaded. */
    suspend fun handleRequest(request: OwnerRequest): OwnerResponse {
        val response = CompletableDeferred<OwnerResponse>()
        send(OwnerEvent.RequestReceived(request, response))
        return withTimeoutOrNull(RESPONSE_TIMEOUT) { response.await() } ?: OwnerResponse.NotOwner
    }

    /**
     * Loads the shard and schedules its jobs until the ownership is lost. Workers that do not report are assumed to run
     * their recorded tasks for [graceMillis] plus the duration of a lease.
     */
    suspend fun run(graceMillis: Long): Unit = coroutineScope {
        val loaded = load()
        val now = clock.steady()
        val leasesEndAt = now + graceMillis + settings.leaseMillis + settings.leaseSlackMillis
        shard.recover(loaded.jobs, leasesEndAt, now, acquiredWall + (now - acquiredAt))
        withdrawn.update(loaded.withdrawn, now)
        logger.event(
            Level.INFO,
            "shard loaded",
            "epoch" to epoch,
            "jobs" to loaded.jobs.size,
            "endedJobsWithAttempts" to loaded.endedJobsWithAttempts,
            "grace" to graceMillis,
        )
        tickedAt = clock.steady()
        launch { watchInbox(loaded.revision) }
        launch { sendTicks() }
        launch { requestSummaries() }
        launch { cleanUp() }
        while (!isClosed) {
            handle(events.receive())
            var next = events.tryReceive().getOrNull()
            while (next != null && !isClosed) {
                handle(next)
                next = events.tryReceive().getOrNull()
            }
            if (!isClosed) placeAndCommit(this)
        }
        // A write in progress is not awaited: the records that the next owner reads are authoritative.
        coroutineContext.cancelChildren()
    }

    /** Stops the loop, closes all connections and rejects pending requests. */
    fun close() {
        isClosed = true
        send(OwnerEvent.Tick)
        sessions.values.forEach { it.close(successor) }
        var remaining = events.tryReceive().getOrNull()
        while (remaining != null) {
            (remaining as? OwnerEvent.RequestReceived)?.response?.complete(OwnerResponse.NotOwner)
            remaining = events.tryReceive().getOrNull()
        }
    }

    private suspend fun load(): ShardStore.Snapshot {
        while (true) {
            records.load().fold(
                { logger.event(Level.WARN, "shard not loaded; retrying", "epoch" to epoch, "reason" to it) },
                { return it },
            )
            delay(READ_RETRY_DELAY)
        }
    }

    private suspend fun watchInbox(from: Long) {
        var revision = from
        while (true) {
            records.awaitInboxChange(revision).fold(
                { error ->
                    logger.event(
                        Level.INFO,
                        "inbox watch failed; listing the inbox",
                        "after" to revision,
                        "reason" to error,
                    )
                    delay(READ_RETRY_DELAY)
                    revision = relist() ?: revision
                },
                { change ->
                    revision = change.revision
                    if (change.jobs.isNotEmpty() || change.cancelled.isNotEmpty() || change.withdrawn != null) {
                        send(OwnerEvent.InboxUpdated(change.jobs, change.cancelled, change.withdrawn))
                    }
                },
            )
            delay(WATCH_INTERVAL)
        }
    }

    /** Lists the whole inbox, because the watch may have missed changes. Null if the store cannot be read. */
    private suspend fun relist(): Long? {
        val all = records.load().getOrNull() ?: return null
        val jobs = all.unfinishedJobs
        val cancelled = jobs.filter { it.cancelled }.map { it.record.id }
        val records = jobs.map { StoredRecord(it.record, it.recordRevision) }
        send(OwnerEvent.InboxUpdated(records, cancelled, all.withdrawn))
        return all.revision
    }

    private suspend fun sendTicks() {
        while (true) {
            delay(TICK_INTERVAL)
            send(OwnerEvent.Tick)
        }
    }

    private suspend fun requestSummaries() {
        while (true) {
            delay(SUMMARY_INTERVAL)
            send(OwnerEvent.Summarize)
        }
    }

    /**
     * Deletes records beside the loop, which must not wait for the store. The fence is advanced first: it ends
     * creations that are still under way and could be committed once the records that prevent them are gone.
     */
    private suspend fun cleanUp() {
        for (c in cleanups) {
            if (!records.advanceFence(c.withdrawn, ownership.epochRevision)) return
            if (!records.delete(c.jobs, ownership.epochRevision) { send(OwnerEvent.Deleted(it)) }) return
        }
    }

    /** Requests the deletion of expired records, at most once in the interval of the settings. */
    private fun requestCleanup(now: Long) {
        if (cleanedAt?.let { now - it < settings.cleanupIntervalMillis } == true) return
        val cleanup = Cleanup(shard.expire(now).associateWith(shard::recordRevision), withdrawn.expired(now))
        if (cleanup.jobs.isEmpty() && cleanup.withdrawn.isEmpty()) return
        cleanedAt = now
        cleanups.trySend(cleanup)
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
            "deferredJobs" to s.deferredJobs.takeIf { it > 0 },
            "evacuatedWorkers" to s.evacuatedWorkers.takeIf { it > 0 },
            "mayGrant" to ownership.mayGrantLeases,
        )
    }

    private fun handle(e: OwnerEvent) {
        val now = clock.steady()
        when (e) {
            is OwnerEvent.Reported -> handleReport(e, now)
            is OwnerEvent.Detached -> {
                sessions.remove(e.session.id)
                shard.detach(e.session.id)
            }
            is OwnerEvent.RequestReceived -> e.response.complete(responseTo(e.request, now))
            is OwnerEvent.InboxUpdated -> {
                e.jobs.forEach { shard.accept(it.record, now, it.revision) }
                e.cancelled.forEach { shard.cancel(it, now) }
                e.withdrawn?.let { withdrawn.update(it, now) }
            }
            is OwnerEvent.Configured -> {
                healthPaths = e.config.healthPaths
                shard.configure(e.config.classes)
            }
            is OwnerEvent.Evacuated -> shard.evacuate(e.state.domains, e.state.currentAt)
            is OwnerEvent.Written -> handleWritten(e, now)
            is OwnerEvent.Deleted -> shard.deleted(e.jobs, now)
            OwnerEvent.Summarize -> logSummary(shard.summary(now))
            OwnerEvent.Tick -> {
                tickedAt = now
                shard.tick(now)
                requestCleanup(now)
            }
        }
    }

    private fun handleReport(e: OwnerEvent.Reported, now: Long) {
        sessions[e.session.id] = e.session
        if (e.message.epoch != epoch) {
            // The agent may still execute commands of an earlier owner. It reports again once it knows the epoch.
            e.session.send(OwnerMessage(epoch))
            return
        }
        val isLeaseExtended = shard.report(e.session.id, e.message.report, now)
        if (!e.session.isResponseDue(now, isLeaseExtended)) return
        val profiles = if (e.session.hasTaskProfiles) emptyMap() else shard.taskProfiles(e.session.id)
        e.session.hasTaskProfiles = true
        e.session.send(
            OwnerMessage(
                epoch,
                inResponseTo = e.message.sentAt,
                leaseMillis = if (isLeaseExtended && ownership.mayGrantLeases) settings.leaseMillis else 0,
                taskProfiles = profiles,
                interference = e.session.interferenceChanges(shard.interference(e.session.id)),
                healthPath = healthPaths[e.message.report.profile.service],
            ),
        )
    }

    private fun responseTo(request: OwnerRequest, now: Long): OwnerResponse = when (request) {
        is OwnerRequest.JobStored -> OwnerResponse.Acknowledged(loads(now)).also {
            // The watch finds the jobs of entries that send no revision.
            if (request.revision > 0) shard.accept(request.record, now, request.revision)
        }
        is OwnerRequest.CancellationStored -> OwnerResponse.Acknowledged().also { shard.cancel(request.id, now) }
        is OwnerRequest.GetPhase -> OwnerResponse.Phase(shard.phaseOf(request.id), loads(now))
        is OwnerRequest.CountPending -> OwnerResponse.PendingCount(shard.pending(request.classId))
        // Handled by SchedulerService, which needs no shard for them.
        is OwnerRequest.StoreJob, is OwnerRequest.StoreCancellation -> OwnerResponse.NotOwner
        is OwnerRequest.Resign -> {
            if (request.epoch > epoch) {
                successor = request.owner
                isClosed = true
            }
            OwnerResponse.Acknowledged()
        }
    }

    /** The loads of the services with too little room, for the entries that turn jobs away. */
    private fun loads(now: Long): List<ShardLoad> {
        if (now - loadsAt >= LOAD_INTERVAL_MILLIS) {
            loadsAt = now
            loads = shard.loads(now, MIN_BACKLOG_MILLIS)
        }
        return loads
    }

    private fun handleWritten(e: OwnerEvent.Written, now: Long) {
        isWriting = false
        if (e.result == null) {
            logger.event(Level.WARN, "shard lost: another owner has written the epoch", "epoch" to epoch)
            isClosed = true
            return
        }
        shard.committed(e.commit, e.result.revision, now, e.result.missing)
        onCommitted(e.commit)
    }

    private fun placeAndCommit(scope: CoroutineScope) {
        shard.place(clock.steady(), clock.wall())
        sendOutputs()
        if (isWriting) return
        val commit = shard.nextCommit() ?: return
        isWriting = true
        scope.launch {
            val reading = ClockReading(clock)
            val result = records.write(commit, ownership.epochRevision)
            if (result != null) ownership.recordWrite(reading)
            send(OwnerEvent.Written(commit, result))
        }
    }

    /** Sends the outputs of the shard, in one message per agent. */
    private fun sendOutputs() {
        val commands = HashMap<Long, MutableList<WorkerCommand>>()
        val ends = HashMap<Long, Long>()
        for (output in shard.takeOutputs()) {
            when (output) {
                is ShardOutput.Send -> commands.getOrPut(output.session) { mutableListOf() } += output.command
                is ShardOutput.AcknowledgeEnds -> ends[output.session] = output.number
                is ShardOutput.LogEvent -> log.write(output)
            }
        }
        for (id in commands.keys + ends.keys) {
            val session = sessions[id] ?: continue
            val changes = if (id in commands) session.interferenceChanges(shard.interference(id)) else emptyList()
            session.send(
                OwnerMessage(
                    epoch,
                    commands = commands[id].orEmpty(),
                    lastStoredEnd = ends[id],
                    interference = changes,
                ),
            )
        }
    }

    /** Finished jobs, with the revisions of their records, to be deleted, and ids that the fence is to forget. */
    private class Cleanup(val jobs: Map<String, Long>, val withdrawn: Set<String>)

    private companion object {
        /** Longer than the timeout of any sender. A request without a response by then was sent to an ended loop. */
        val RESPONSE_TIMEOUT = 2_000.milliseconds

        val SUMMARY_INTERVAL = 2_000.milliseconds

        /** Interval at which the load is computed again. Entries use one for a second. */
        const val LOAD_INTERVAL_MILLIS = 250L

        /** With less work than this, no job can be too late for lack of room, and entries need no load. */
        const val MIN_BACKLOG_MILLIS = 1_000L

        /** Interval between checks for expired leases and due jobs. */
        val TICK_INTERVAL = 100.milliseconds

        /** Delay before a failed read is retried. */
        val READ_RETRY_DELAY = 200.milliseconds

        /** Delay between two watch calls, so that a burst of changes needs few calls. */
        val WATCH_INTERVAL = 250.milliseconds
    }
}
