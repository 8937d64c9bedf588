package org.camphorhall.entry

import io.github.oshai.kotlinlogging.KotlinLogging
import io.grpc.StatusException
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.cio.CIO
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.routing.routing
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.camphorhall.core.model.Resources
import org.camphorhall.core.model.TenantName
import org.camphorhall.core.shard.JobShardAction
import org.camphorhall.core.shard.ShardSettings
import org.camphorhall.core.shard.job
import org.camphorhall.entry.account.RequestAccounting
import org.camphorhall.entry.http.configRoutes
import org.camphorhall.entry.http.jobRoutes
import org.camphorhall.entry.http.operatorRoutes
import org.camphorhall.entry.http.requestRoutes
import org.camphorhall.entry.members.ConfigPush
import org.camphorhall.entry.members.EntryService
import org.camphorhall.entry.members.PeerExchange
import org.camphorhall.entry.members.WorkerRegistry
import org.camphorhall.entry.members.domainSummary
import org.camphorhall.entry.request.InFlightLimits
import org.camphorhall.entry.request.RequestHandler
import org.camphorhall.entry.shard.ShardClient
import org.camphorhall.entry.shard.ShardClaim
import org.camphorhall.entry.shard.ShardHost
import org.camphorhall.entry.shard.ShardSet
import org.camphorhall.entry.store.ClusterWatch
import org.camphorhall.entry.store.ConfigWriter
import org.camphorhall.entry.store.EntryRecord
import org.camphorhall.entry.store.StoreSession
import org.camphorhall.platform.store.KeyValueStore
import org.camphorhall.process.ExitCode
import org.camphorhall.process.Metrics
import org.camphorhall.process.ShutdownSignal
import org.camphorhall.process.bindOrThrow
import org.camphorhall.process.operationRoutes
import org.camphorhall.wire.PeerChannels
import org.camphorhall.wire.grpcServer
import org.camphorhall.wire.proto.AgentGrpcKt
import org.camphorhall.wire.proto.CommandRequest
import org.camphorhall.wire.proto.DomainSummary
import org.camphorhall.wire.toMessage
import org.camphorhall.wire.toModel
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Runs the entry until [signal] requests a shutdown and the requests in flight have ended. */
internal suspend fun serve(options: EntryOptions, signal: ShutdownSignal): ExitCode {
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    val entry = EntryProcess(options, scope)
    try {
        entry.start()
        signal.await()
        entry.drain()
    } finally {
        entry.close()
        scope.cancel()
    }
    return ExitCode.Ok
}

/** A running entry: creates its components and starts and stops them. */
private class EntryProcess(private val options: EntryOptions, private val scope: CoroutineScope) {
    private val clocks = Clocks()
    private val registry = Metrics()
    private val metrics = EntryMetrics(registry)
    private val self = EntryRecord(
        id = "${options.failureDomain}-${Random.nextInt().toUInt().toString(HEX_RADIX)}",
        address = options.advertise ?: options.listen,
        httpAddress = options.httpListen,
        failureDomain = options.failureDomain,
    )
    private val store = KeyValueStore(options.storeUrl, onCall = { metrics.recordStoreCall(it.name) })
    private val channels = PeerChannels()
    private val workerRegistry = WorkerRegistry(clocks::mono)
    private val watch = ClusterWatch(store) { scope.launch { push.push() } }
    private val push: ConfigPush = ConfigPush(self.id, options.failureDomain, watch, workerRegistry, channels)
    private val session: StoreSession = StoreSession(
        store,
        self,
        options.storeLeaseMillis.milliseconds,
        clocks::mono,
        onExpired = { shards.closeAll() },
        onRenewed = { shards.onStoreLeaseRenewed(it) },
    )
    private val settings = ShardSettings(
        taskLease = options.taskLeaseMillis.milliseconds,
        ownerGrace = options.ownerGraceMillis.milliseconds,
        writeInterval = options.writeIntervalMillis.milliseconds,
        keyRetention = options.keyRetentionHours.hours,
        jobRetention = options.jobRetentionHours.hours,
    )
    private val shards: ShardSet =
        ShardSet(options.shards, self, store, { watch.state }, { session.lease }, clocks::mono, ::newHost, scope)
    private val client = ShardClient(options.shards, shards, { watch.state }, channels)
    private val exchange = PeerExchange(self.id, watch, workerRegistry, channels, clocks::mono, ::summary)
    private val accounting = RequestAccounting(self.id, store) { clocks.now().wallMillis }
    private val requests = RequestHandler(
        self.id,
        options.failureDomain,
        routingPolicies.getValue(options.routing),
        options.shards,
        client,
        workerRegistry,
        channels,
        clocks,
        scope,
        metrics::recordRetry,
    )
    private val components = EntryComponents(
        options,
        clocks,
        store,
        watch,
        ConfigWriter(store, self.id),
        workerRegistry,
        channels,
        client,
        requests,
        InFlightLimits(options.limits.maxInFlight),
        accounting,
        metrics,
    )

    /** Number of active HTTP calls; a graceful shutdown waits for them. */
    private val activeCalls = AtomicInteger()
    private val grpc = grpcServer(
        options.listen,
        EntryService(self.id, watch, shards, workerRegistry, exchange, push, channels, scope, clocks::mono, ::summary),
    )
    private val http = embeddedServer(
        CIO,
        configure = {
            connector {
                host = options.httpListen.substringBeforeLast(':')
                port = options.httpListen.substringAfterLast(':').toInt()
            }
            connectionIdleTimeoutSeconds = HTTP_IDLE_TIMEOUT_SECONDS
        },
    ) {
        intercept(ApplicationCallPipeline.Monitoring) {
            activeCalls.incrementAndGet()
            try {
                proceed()
            } finally {
                activeCalls.decrementAndGet()
            }
        }
        routing {
            operationRoutes(registry) { !components.stopping && watch.hasConfig }
            requestRoutes(components)
            jobRoutes(components)
            configRoutes(components)
            operatorRoutes(components)
        }
    }

    suspend fun start() {
        bindOrThrow { grpc.start() }
        http.start(wait = false)
        scope.launch { session.run() }
        scope.launch { watch.run() }
        scope.launch { shards.run() }
        scope.launch { exchange.run(scope) }
        scope.launch { accounting.run() }
        scope.launch {
            while (true) {
                metrics.setOwnedShards(shards.all().size)
                delay(GAUGE_INTERVAL)
            }
        }
        logger.info { "entry ${self.id} is ready on ${options.httpListen}" }
    }

    private fun newHost(claim: ShardClaim) = ShardHost(
        claim,
        self.id,
        settings,
        store,
        clocks,
        workerSnapshot = { workerRegistry.snapshot().copy(tenantUsage = usageOutsideShard(claim.shard)) },
        config = { watch.state.config },
        sendCommand = ::sendCommand,
    )

    private fun usageOutsideShard(shard: Int): Map<TenantName, Resources> {
        val sum = HashMap(workerRegistry.remoteUsage())
        for ((t, r) in ownUsage { it != shard }) sum[t] = (sum[t] ?: Resources.None) + r
        return sum
    }

    private fun ownUsage(include: (Int) -> Boolean): Map<TenantName, Resources> {
        val sum = HashMap<TenantName, Resources>()
        for (h in shards.all().filter { include(it.shard) }) {
            val state = h.jobState
            for (id in state.assigned) {
                val spec = state.page.jobs[id.job]?.spec ?: continue
                sum[spec.tenant] = (sum[spec.tenant] ?: Resources.None) + spec.resources
            }
        }
        return sum
    }

    private fun summary(peerConfigVersion: Long): DomainSummary = domainSummary(
        self.id,
        options.failureDomain,
        workerRegistry.snapshot(),
        ownUsage { true },
        watch.state.config,
        peerConfigVersion,
        clocks.mono(),
    )

    private fun sendCommand(host: ShardHost, c: JobShardAction.Command) {
        metrics.recordTaskStarts(c.starts.size)
        c.starts.forEach { workerRegistry.recordPlacement(c.worker, it.spec.resources) }
        val message = CommandRequest.newBuilder()
            .setOwner(self.id)
            .setOwnerAddress(self.address)
            .setIncarnation(c.incarnation)
            .setAnchorNanos(c.heartbeatSentAt.nanos)
            .addAllStarts(c.starts.map { it.toMessage() })
            .addAllStops(c.stops.map { it.toMessage() })
            .build()
        scope.launch {
            val channel = channels.get(c.address)
            try {
                val response = AgentGrpcKt.AgentCoroutineStub(channel)
                    .withDeadlineAfter(COMMAND_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                    .command(message)
                host.onCommandResponse(c.worker, c.incarnation, response.reportsList.map { it.toModel() })
            } catch (e: StatusException) {
                channels.replaceOnTimeout(c.address, channel, e.status)
                logger.debug { "command to worker ${c.worker} failed: ${e.status.code}" }
            }
        }
    }

    /**
     * Rejects new work and waits up to the drain limit for requests in flight. Then closes the shards, stores the
     * counts and revokes the lease.
     */
    suspend fun drain() {
        logger.info { "draining" }
        components.stopping = true
        val done = withTimeoutOrNull(options.drainLimitMillis.milliseconds) {
            while (activeCalls.get() > 0) delay(DRAIN_POLL_INTERVAL)
        }
        if (done == null) logger.warn { "the drain limit ended with requests in flight" }
        shards.drainAndCloseAll()
        accounting.flush(closed = true)
        session.close()
    }

    fun close() {
        http.stop(SHUTDOWN_TIMEOUT_MILLIS, SHUTDOWN_TIMEOUT_MILLIS)
        grpc.shutdown()
        grpc.awaitTermination(SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        channels.close()
    }

    private companion object {
        const val HEX_RADIX = 16
        const val HTTP_IDLE_TIMEOUT_SECONDS = 60
        const val COMMAND_TIMEOUT_MILLIS = 2_000L
        const val SHUTDOWN_TIMEOUT_MILLIS = 1_000L
        val GAUGE_INTERVAL = 1_000.milliseconds
        val DRAIN_POLL_INTERVAL = 20.milliseconds
    }
}
