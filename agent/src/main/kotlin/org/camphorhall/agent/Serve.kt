package org.camphorhall.agent

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.server.application.install
import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.routing.routing
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.camphorhall.core.agent.AgentAction
import org.camphorhall.core.agent.AgentEvent
import org.camphorhall.core.agent.AgentMachine
import org.camphorhall.core.agent.AgentSettings
import org.camphorhall.core.agent.AgentState
import org.camphorhall.core.agent.AttemptPhase
import org.camphorhall.core.agent.BackendAnswer
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.platform.runtime.WorkerCapacity
import org.camphorhall.platform.runtime.WorkerRuntime
import org.camphorhall.process.ExitCode
import org.camphorhall.process.Metrics
import org.camphorhall.process.ShutdownSignal
import org.camphorhall.process.bindOrThrow
import org.camphorhall.process.operationRoutes
import org.camphorhall.wire.PeerChannels
import org.camphorhall.wire.grpcServer
import org.camphorhall.wire.loadReport
import org.camphorhall.wire.proto.HeartbeatRequest
import org.camphorhall.wire.proto.ShardRenewal
import org.camphorhall.wire.toMessage
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Runs the agent until [signal] or the RPC `Leave` requests a shutdown, then drains its work in flight. */
internal suspend fun serve(options: AgentOptions, signal: ShutdownSignal): ExitCode {
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    val agent = AgentProcess(options, scope, leave = signal::request)
    try {
        agent.start()
        signal.await()
        agent.drain()
    } finally {
        agent.close()
        scope.cancel()
    }
    return ExitCode.Ok
}

/** Components of a running agent. */
private class AgentProcess(
    private val options: AgentOptions,
    private val scope: CoroutineScope,
    leave: () -> Unit,
) {
    private val clock = { MonotonicInstant(System.nanoTime()) }
    private val policy = policies.getValue(options.policy)
    private val settings = AgentSettings(
        taskLease = options.taskLeaseMillis.milliseconds,
        maxQueue = options.maxQueue,
        shardCount = options.shards,
    )
    private val registry = Metrics()
    private val metrics = AgentMetrics(registry)
    private val stopCounter = StopCounter(metrics::countEviction)
    private val incarnation = clock().nanos
    private val requests = PendingRequests()
    private val loop: AgentLoop = AgentLoop(
        AgentMachine(settings, policy),
        AgentState(incarnation),
        clock,
        metrics::recordConfigVersion,
        ::perform,
    )
    private val runtime = WorkerRuntime(options.runtimeUrl, incarnation, onCall = { metrics.countRuntimeCall(it.name) })
    private val driver = RuntimeDriver(runtime, scope, clock, loop::send)
    private val backendClient = BackendClient()
    private val channels = PeerChannels()
    private val heartbeats = HeartbeatSender(
        options.entries,
        options.failureDomain,
        options.heartbeatMillis.milliseconds,
        channels,
        clock,
        loop::state,
        ::buildHeartbeat,
        loop::send,
    )
    private val service = AgentService(loop, requests, policy, clock, metrics, leave)
    private val grpc = grpcServer(options.listen, service)
    private val http = embeddedServer(CIO, options.httpPort, options.httpHost) {
        routing {
            operationRoutes(registry, ::isReady)
            backendRoutes(clock, loop::send)
        }
    }

    @Volatile
    private var capacity: WorkerCapacity? = null

    suspend fun start() {
        bindOrThrow { grpc.start() }
        http.start(wait = false)
        scope.launch { loop.run() }
        capacity = driver.openSession()
        scope.launch { every(TICK_PERIOD) { loop.send(AgentEvent.Tick) } }
        scope.launch {
            every(INVENTORY_PERIOD) {
                if (loop.state.attempts.values.any { it.phase.active }) driver.readInventory()
            }
        }
        scope.launch { every(options.checkpointMillis.milliseconds) { driver.checkpoint(runningAttempts()) } }
        scope.launch { heartbeats.run(scope) }
        logger.info { "agent of worker ${capacity?.instance} is ready on ${options.listen}" }
    }

    private fun isReady(): Boolean {
        val s = loop.state
        return s.capacity != null && !s.draining && clock() >= s.admissionStartsAt && heartbeats.connected
    }

    private fun runningAttempts() =
        loop.state.attempts.values.filter { it.phase == AttemptPhase.Running }.map { it.id }

    private suspend fun every(period: kotlin.time.Duration, action: suspend () -> Unit) {
        while (true) {
            action()
            delay(period)
        }
    }

    private fun perform(action: AgentAction) {
        when (action) {
            is AgentAction.Dispatch -> scope.launch { dispatch(action) }
            is AgentAction.Respond -> requests.complete(action)
            is AgentAction.RespondToWithdrawal -> requests.completeWithdrawal(action.id, action.notRun)
            else -> {
                if (action is AgentAction.StopTask) stopCounter.record(action.id, loop.state)
                driver.perform(action)
            }
        }
    }

    private suspend fun dispatch(d: AgentAction.Dispatch) {
        val r = d.request
        // Without its body the request is never sent, which is as certain as a refused connection.
        val body = requests.body(r.id) ?: return loop.send(AgentEvent.BackendAnswered(r.id, BackendAnswer.NotReached))
        val response = backendClient.send(d.url, r, body, r.deadline - clock())
        requests.setResponseBody(r.id, response.body)
        loop.send(AgentEvent.BackendAnswered(r.id, response.answer))
    }

    private fun buildHeartbeat(includesShard: (Int) -> Boolean, sentAt: MonotonicInstant): HeartbeatRequest {
        val s = loop.state
        val shards = s.attempts.values.map { it.shard }.distinct()
        return HeartbeatRequest.newBuilder()
            .setWorker(capacity?.instance.orEmpty())
            .setIncarnation(incarnation)
            .setAddress(options.advertise ?: options.listen)
            .setFailureDomain(options.failureDomain)
            .setRack(capacity?.rack.orEmpty())
            .setSentNanos(sentAt.nanos)
            .setConfigVersion(s.config.version)
            .setLoad(s.loadReport(policy, sentAt))
            .addAllAttempts(s.attempts.values.filter { includesShard(it.shard) }.map { it.toMessage() })
            .addAllShards(shards.map { renewal(it, s.fencedEpoch(it)) })
            .setInventoryRead(s.capacity != null)
            .build()
    }

    private fun renewal(shard: Int, epoch: Long) = ShardRenewal.newBuilder().setShard(shard).setEpoch(epoch).build()

    /** Rejects new work and waits until the work in flight has ended and the owners have acknowledged its results. */
    suspend fun drain() {
        logger.info { "draining" }
        loop.send(AgentEvent.Drain)
        val done = withTimeoutOrNull(options.drainLimitMillis.milliseconds) {
            delay(options.heartbeatMillis.milliseconds * 2)
            while (!(loop.state.idle && loop.state.attempts.isEmpty())) delay(TICK_PERIOD)
        }
        if (done == null) logger.warn { "the drain limit ended with work left" }
    }

    fun close() {
        http.stop(0, STOP_MILLIS)
        grpc.shutdown()
        grpc.awaitTermination(STOP_MILLIS, java.util.concurrent.TimeUnit.MILLISECONDS)
        channels.close()
        backendClient.close()
    }

    private companion object {
        val TICK_PERIOD = 100.milliseconds
        val INVENTORY_PERIOD = 500.milliseconds
        const val STOP_MILLIS = 1_000L
    }
}

private val AgentOptions.httpHost: String get() = httpListen.substringBeforeLast(':')
private val AgentOptions.httpPort: Int get() = httpListen.substringAfterLast(':').toInt()
