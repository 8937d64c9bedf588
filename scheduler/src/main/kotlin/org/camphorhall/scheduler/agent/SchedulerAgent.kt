package org.camphorhall.scheduler.agent

import arrow.core.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.camphorhall.platform.fleet.fleetEvacuations
import org.camphorhall.platform.fleet.fleetOperatorConfig
import org.camphorhall.platform.fleet.fleetStore
import org.camphorhall.platform.fleet.fleetTaskWorker
import org.camphorhall.platform.fleet.respondFleetHeartbeat
import org.camphorhall.platform.store.StoreCall
import org.camphorhall.platform.store.StoreTransaction
import org.camphorhall.platform.store.TransactionalStore
import org.camphorhall.platform.worker.WorkerHeartbeat
import org.camphorhall.platform.worker.WorkerHeartbeatListener
import org.camphorhall.process.ExitCode
import org.camphorhall.process.Metrics
import org.camphorhall.process.ShutdownSignal
import org.camphorhall.process.bindOrThrow
import org.camphorhall.process.event
import org.camphorhall.process.respondOperation
import org.camphorhall.scheduler.owner.SchedulerService
import org.camphorhall.scheduler.owner.ShardCandidate
import org.camphorhall.scheduler.peer.PeerSockets
import org.camphorhall.scheduler.peer.PeerServer
import org.camphorhall.scheduler.support.ConfigWatcher
import org.camphorhall.scheduler.support.EvacuationWatcher
import org.camphorhall.scheduler.support.JobRecordStore
import org.camphorhall.scheduler.support.OwnerClient
import org.camphorhall.scheduler.support.OwnerFinder
import org.camphorhall.scheduler.support.SharedValue
import org.camphorhall.scheduler.support.ShardKeys
import org.camphorhall.scheduler.support.SystemClock
import org.camphorhall.scheduler.support.httpServer
import org.camphorhall.scheduler.support.launchLoop
import java.util.concurrent.Executors
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Runs the agent until [signal] requests a stop. */
internal suspend fun serveAgent(options: SchedulerAgentOptions, signal: ShutdownSignal): ExitCode {
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    val agent = SchedulerAgent(options, scope)
    try {
        agent.start()
        signal.await()
        withTimeoutOrNull(SchedulerAgent.STOP_TIMEOUT) { agent.stop() }
    } finally {
        agent.close()
        scope.cancel()
    }
    return ExitCode.Ok
}

/** The components of an agent process. */
private class SchedulerAgent(
    private val options: SchedulerAgentOptions,
    private val scope: CoroutineScope,
) : WorkerHeartbeatListener {
    private val clock = SystemClock
    private val metrics = Metrics()
    private val storeCalls =
        metrics.deferredCounter("camphorhall_store_calls", "Calls to the key-value service", "call")
    private val stops =
        metrics.deferredCounter("camphorhall_worker_stops", "Stops sent to the worker and failed tries", "outcome")
    private val store: TransactionalStore =
        fleetStore(options.store, STORE_CONNECT_TIMEOUT, STORE_CALL_TIMEOUT, onCall = ::countStoreCall)

    /** Separate thread, so that other work does not delay ownership renewals; lazy, since few agents become owners. */
    private val ownershipThread = lazy {
        Executors.newSingleThreadScheduledExecutor { Thread(it, "ownership") }.asCoroutineDispatcher()
    }

    private val sockets = PeerSockets()
    private val keys = ShardKeys(ShardKeys.shardOf(options.instance, options.shards))
    private val finder = OwnerFinder(store, keys)
    private val candidate = ShardCandidate(
        store,
        lazy {
            fleetStore(
                options.store,
                STORE_CONNECT_TIMEOUT,
                STORE_CALL_TIMEOUT,
                ownershipThread.value,
                ::countStoreCall,
            )
        },
        ownershipThread,
        keys,
        options.instance,
        options.peers,
        clock,
        OwnerClient(sockets, scope),
        finder,
        config = { onChange -> ConfigWatcher(fleetOperatorConfig(store), clock, onChange).run() },
        options.shardSettings(),
        evacuations = { onUpdate -> EvacuationWatcher(fleetEvacuations(store), clock, onUpdate).run() },
    )
    private val service = SchedulerService(
        JobRecordStore(store, options.shards),
        owner = { candidate.owner },
        otherOwner = { finder.owner?.takeIf { !it.isAt(options.instance, options.peers) } },
    )
    private val peers = PeerServer(options.peers, sockets, scope, clock, service::serve)
    private val http = httpServer(
        mapOf(
            options.heartbeats to { respondFleetHeartbeat(options.instance, this@SchedulerAgent) },
            options.metrics to { respondOperation(metrics) { incarnation != null } },
        ),
    )

    private val tokens = SharedValue(::reserveTokens)

    @Volatile
    private var incarnation: WorkerIncarnation? = null

    suspend fun start() {
        scope.launchLoop("shard candidate") { candidate.run() }
        bindOrThrow { peers.start() }
        bindOrThrow { http.start(wait = false) }
        logger.event(Level.INFO, "agent started", "instance" to options.instance, "shards" to options.shards)
        logger.event(
            Level.INFO,
            "bounds of the platform in force",
            "maxLeaseMillis" to options.maxLeaseMillis,
            "crossRackFactor" to options.crossRackFactor,
            "stopTimeoutMillis" to options.stopTimeoutMillis,
            "restoreMillis" to options.restoreMillis,
            "jobStatusSeconds" to options.jobStatusSeconds,
            "evacuationMillis" to (options.evacuationMillis ?: "none"),
        )
    }

    private fun countStoreCall(call: StoreCall) = storeCalls.increment(call.name)

    private fun countStop(outcome: StopOutcome) = stops.increment(outcome.name)

    override fun onHeartbeat(heartbeat: WorkerHeartbeat): Boolean = synchronized(this) {
        val current = incarnation
        val key = heartbeat.profile.key
        when {
            current == null || isNewerIncarnation(heartbeat, current) -> replaceIncarnation(heartbeat)
            key != current.key -> return false
            heartbeat.sequence > current.sequence -> {
                current.sequence = heartbeat.sequence
                current.update(heartbeat.profile)
            }
        }
        true
    }

    /** A late heartbeat of an earlier incarnation may arrive after the first one of the next incarnation. */
    private fun isNewerIncarnation(heartbeat: WorkerHeartbeat, current: WorkerIncarnation): Boolean =
        heartbeat.profile.key != current.key && heartbeat.profile.key.startedAtMillis >= current.key.startedAtMillis

    private fun replaceIncarnation(heartbeat: WorkerHeartbeat) {
        incarnation?.end()
        logger.event(
            Level.INFO,
            "worker announced",
            "worker" to heartbeat.profile.key,
            "draining" to heartbeat.profile.draining,
        )
        incarnation = WorkerIncarnation(heartbeat)
    }

    override fun onLeave(id: String): Unit = synchronized(this) {
        logger.event(Level.INFO, "worker left", "worker" to id)
    }

    /** State and connections of one incarnation of the worker. */
    private inner class WorkerIncarnation(first: WorkerHeartbeat) {
        val key = first.profile.key
        var sequence = first.sequence

        @Volatile
        var link: WorkerLink? = null

        @Volatile
        private var profile = first.profile

        private val job: Job = scope.launch {
            val worker = fleetTaskWorker(first.address, key, WORKER_CONNECT_TIMEOUT, WORKER_CALL_TIMEOUT)
            val workerLink = WorkerLink(profile, worker, tokens.get(), clock, options.maxLeaseMillis, ::countStop)
            link = workerLink
            workerLink.profile = profile
            try {
                coroutineScope {
                    launchLoop("worker polls") { workerLink.run() }
                    launchLoop("worker health") { workerLink.health.run() }
                    val ownerLink = OwnerLink(workerLink, sockets, clock, { finder.owner }, finder::update)
                    launchLoop("owner connection") { ownerLink.run() }
                }
            } finally {
                workerLink.close()
            }
        }

        fun update(next: org.camphorhall.core.jobs.WorkerProfile) {
            val isDrainingChanged = next.draining != profile.draining
            profile = next
            val workerLink = link ?: return
            workerLink.profile = next
            if (isDrainingChanged) workerLink.updates.trySend(Unit)
        }

        fun end(): Unit = job.cancel(CancellationException("worker restarted"))
    }

    /** Derived from a store revision. Revisions only increase, so the tokens exceed those of all earlier agents. */
    private suspend fun reserveTokens(): FencingTokens {
        val write = StoreTransaction.Write(ShardKeys.TOKENS, options.instance.encodeToByteArray())
        while (true) {
            val revision = store.commit(StoreTransaction(writes = listOf(write))).getOrElse { error ->
                logger.event(Level.WARN, "fencing token not obtained; retrying", "reason" to error)
                null
            }
            if (revision != null) return FencingTokens(revision * TOKENS_PER_AGENT)
            delay(TOKEN_RETRY_DELAY)
        }
    }

    /** Resigns the ownership of the shard and extends the lease of the worker as far as it was granted. */
    suspend fun stop() {
        logger.event(Level.INFO, "agent stopping", "instance" to options.instance)
        candidate.resign()
        incarnation?.link?.extendLease()
    }

    fun close() {
        http.stop(0, 0)
        peers.close()
        sockets.close()
        if (ownershipThread.isInitialized()) ownershipThread.value.close()
    }

    companion object {
        val STORE_CONNECT_TIMEOUT = 500.milliseconds
        val STORE_CALL_TIMEOUT = 800.milliseconds
        val WORKER_CONNECT_TIMEOUT = 300.milliseconds
        val WORKER_CALL_TIMEOUT = 800.milliseconds
        val TOKEN_RETRY_DELAY = 100.milliseconds

        /** Covers two calls to the store and one to the worker. */
        val STOP_TIMEOUT = 1_500.milliseconds

        /** Fencing tokens reserved per agent process, so that they stay below those of the next one. */
        const val TOKENS_PER_AGENT = 1_000_000L
    }
}
