package org.camphorhall.scheduler.entry

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.camphorhall.platform.fleet.fleetOperatorConfig
import org.camphorhall.platform.fleet.fleetStore
import org.camphorhall.platform.fleet.respondFleetJob
import org.camphorhall.platform.fleet.respondFleetReadiness
import org.camphorhall.platform.store.TransactionalStore
import org.camphorhall.process.ExitCode
import org.camphorhall.process.Metrics
import org.camphorhall.process.ShutdownSignal
import org.camphorhall.process.bindOrThrow
import org.camphorhall.process.event
import org.camphorhall.process.respondOperation
import org.camphorhall.scheduler.peer.PeerSockets
import org.camphorhall.scheduler.support.ConfigWatcher
import org.camphorhall.scheduler.support.JobRecordStore
import org.camphorhall.scheduler.support.JobRefusals
import org.camphorhall.scheduler.support.OwnerClient
import org.camphorhall.scheduler.support.OwnerFinder
import org.camphorhall.scheduler.support.ShardKeys
import org.camphorhall.scheduler.support.SystemClock
import org.camphorhall.scheduler.support.httpServer
import org.camphorhall.scheduler.support.launchLoop
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Runs the entry until [signal] requests a stop and the requests in flight are finished. */
internal suspend fun serveEntry(options: SchedulerEntryOptions, signal: ShutdownSignal): ExitCode {
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    val entry = SchedulerEntry(options, scope)
    try {
        entry.start()
        signal.await()
        entry.stop()
    } finally {
        entry.close()
        scope.cancel()
    }
    return ExitCode.Ok
}

/** Components of a running entry, which last as long as the process. */
private class SchedulerEntry(private val options: SchedulerEntryOptions, private val scope: CoroutineScope) {
    private val clock = SystemClock
    private val metrics = Metrics()
    private val storeCalls =
        metrics.deferredCounter("camphorhall_store_calls", "Calls to the key-value service", "call")
    private val store: TransactionalStore =
        fleetStore(options.store, STORE_CONNECT_TIMEOUT, STORE_CALL_TIMEOUT) { storeCalls.increment(it.name) }
    private val sockets = PeerSockets()
    private val ownerFinders = List(options.shards) { OwnerFinder(store, ShardKeys(it)) }
    private val overload = OverloadView(clock, options.shards)
    private val config = ConfigWatcher(fleetOperatorConfig(store), clock)
    private val records = JobRecordStore(store, options.shards)
    private val intake = SchedulerJobIntake(
        config = { config.config },
        records = records,
        refusals = JobRefusals(store, records, options.shards),
        owners = OwnerRequestClient(OwnerClient(sockets, scope), ownerFinders, overload),
        scope = scope,
        clock = clock,
        metrics = IntakeMetrics(metrics),
        writer = RecordWriter(clock),
        isConfigFresh = { clock.steady() - config.lastReadAt < options.maxConfigAgeMillis },
        overload = overload,
        shards = options.shards,
    )
    private val server = httpServer(
        mapOf(
            options.callers to { respondFleetJob(intake) },
            options.readiness to { respondFleetReadiness(::isReady) },
            options.metrics to { respondOperation(metrics, ::isReady) },
        ),
    )

    @Volatile
    private var isStopping = false

    fun start() {
        scope.launchLoop("configuration") { config.run() }
        ownerFinders.forEach { scope.launchLoop("owner lookup") { it.run() } }
        bindOrThrow { server.start(wait = false) }
        logger.event(Level.INFO, "entry started", "instance" to options.instance, "shards" to options.shards)
    }

    /** Not ready without the store, since no job can be accepted: the balancer then prefers other entries. */
    private fun isReady(): Boolean =
        !isStopping && config.config != null && isStoreReachable()

    private fun isStoreReachable(): Boolean = clock.steady() - config.lastReadAt < MAX_STORE_SILENCE_MILLIS

    /** Keeps serving until the balancer has detected the stop, then waits for the requests in flight. */
    suspend fun stop() {
        isStopping = true
        logger.event(Level.INFO, "entry stopping", "instance" to options.instance, "inFlight" to intake.inFlight)
        delay(READINESS_DELAY)
        withTimeoutOrNull(DRAIN_TIMEOUT) { while (intake.inFlight > 0) delay(DRAIN_POLL_INTERVAL) }
    }

    fun close() {
        server.stop(0, STOP_TIMEOUT_MILLIS)
        sockets.close()
    }

    private companion object {
        val STORE_CONNECT_TIMEOUT = 500.milliseconds

        /** About a hundred times the usual response time, so that a slow store remains usable. */
        val STORE_CALL_TIMEOUT = 800.milliseconds

        /** A watch of the configuration lasts 0.9 s, with 0.8 s more for the response. */
        const val MAX_STORE_SILENCE_MILLIS = 2_000L

        /** The balancer checks readiness once a second and removes an entry after two failed checks. */
        val READINESS_DELAY = 2_200.milliseconds

        /** Covers nearly the longest request, a write whose outcome stays unknown, and ends before the grace time. */
        val DRAIN_TIMEOUT = 2_600.milliseconds
        val DRAIN_POLL_INTERVAL = 20.milliseconds
        const val STOP_TIMEOUT_MILLIS = 200L
    }
}
