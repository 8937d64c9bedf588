package org.camphorhall.dev.fleet

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withContext
import org.camphorhall.dev.http.TestServer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Runs one incarnation of the worker [id] at a time, all of them at the same address. */
internal class FleetWorkerHost(
    private val id: String,
    private val host: String,
    /** Heartbeat address of the worker's agent, host:port. */
    private val agent: String,
    private val scope: CoroutineScope,
    private val newWorker: (id: String) -> FleetWorkerService,
) {
    private class Incarnation(val worker: FleetWorkerService, val server: TestServer, val job: Job)

    private val mutex = Mutex()
    private var current: Incarnation? = null

    /** Port of all incarnations; 0 before the first one. */
    var port = 0
        private set

    suspend fun start(): Unit = mutex.withLock { start(firstHeartbeat = Duration.ZERO) }

    /** Ends the current incarnation with all its runs and starts the next one after [down], silent for a while. */
    suspend fun restart(down: Duration): Unit = mutex.withLock {
        stopCurrent()
        delay(down)
        start(FIRST_HEARTBEAT_DELAY)
    }

    suspend fun stop(): Unit = mutex.withLock { stopCurrent() }

    private suspend fun start(firstHeartbeat: Duration) {
        val worker = newWorker(id)
        val server = TestServer.start(host, port, worker.faults) { worker.defineEndpoints(this) }
        port = server.port
        val job = scope.launch {
            launch {
                delay(firstHeartbeat)
                worker.sendHeartbeats(agent, "$host:$port")
            }
            while (true) {
                worker.endFinishedRuns()
                delay(RUN_CHECK_PERIOD)
            }
        }
        current = Incarnation(worker, server, job)
    }

    private suspend fun stopCurrent() {
        val stopped = current ?: return
        current = null
        stopped.job.cancelAndJoin()
        // The server executes calls until it has stopped.
        withContext(Dispatchers.IO) { stopped.server.stop() }
        stopped.worker.crash()
    }

    private companion object {
        /** The agent reaches the next incarnation before it learns of it. */
        val FIRST_HEARTBEAT_DELAY = 1_500.milliseconds
        val RUN_CHECK_PERIOD = 10.milliseconds
    }
}
