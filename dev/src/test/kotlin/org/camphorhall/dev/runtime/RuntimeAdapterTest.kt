package org.camphorhall.dev.runtime

import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.runBlocking
import org.camphorhall.core.model.AttemptId
import org.camphorhall.core.model.Resources
import org.camphorhall.core.model.TaskId
import org.camphorhall.dev.http.Faults
import org.camphorhall.dev.http.TestServer
import org.camphorhall.platform.runtime.RuntimeError
import org.camphorhall.platform.runtime.RuntimeSession
import org.camphorhall.platform.runtime.RuntimeTask
import org.camphorhall.platform.runtime.TaskStart
import org.camphorhall.platform.runtime.WorkerRuntime
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Guards against a rejection by the runtime that the adapter reports as a different error. */
internal class RuntimeAdapterTest {
    private val clock = AtomicLong(1)
    private val capacity = Resources(cpuMillis = 1000, memoryMib = 100, accelerators = 2)
    private val service = RuntimeService("i-1", "r-1", capacity, Duration.ZERO, clock::get)
    private val server = runBlocking {
        TestServer.start("127.0.0.1", 0, service.faults) { service.defineEndpoints(this) }
    }
    private val runtime = client(incarnation = 5)
    private val id = AttemptId(TaskId("j.0"), 1, 1)

    private fun client(incarnation: Long, timeout: Duration = 10.seconds) =
        WorkerRuntime("http://127.0.0.1:${server.port}", incarnation, 1.seconds, timeout)

    private fun start(id: AttemptId, cpuMillis: Long = 100, deadline: Long = 1_000_000_000) =
        TaskStart(id, Resources(cpuMillis, 10, 1), """{"runMillis":1000}""", null, deadline)

    @AfterEach
    fun stop() = server.stop()

    @Test
    fun `every request of the adapter works against the service`(): Unit = runBlocking {
        expectThat(runtime.capacity().getOrNull()).isNotNull().get { resources }.isEqualTo(capacity)
        expectThat(runtime.openSession()).isEqualTo(RuntimeSession(false, emptyList()).right())
        expectThat(runtime.start(start(id))).isEqualTo(Unit.right())
        expectThat(runtime.usage().getOrNull()!!.map { it.cpuMillis }).containsExactly(100)
        expectThat(runtime.throttle(id, 0.5, 1)).isEqualTo(Unit.right())
        expectThat(runtime.extend(id, 2_000_000_000, id.epoch)).isEqualTo(Unit.right())
        clock.addAndGet(100 * TaskAttempt.NANOS_PER_MILLI)
        expectThat(runtime.checkpoint(id)).isEqualTo("p:50".right())
        val stopped = RuntimeTask(
            id,
            RuntimeTask.State.Stopped,
            "p:50",
            50,
            null,
            2_000_000_000,
            Resources(100, 10, 1),
        )
        expectThat(runtime.stop(id)).isEqualTo(stopped.right())
        expectThat(runtime.tasks()).isEqualTo(listOf(stopped).right())
        expectThat(runtime.forget(id)).isEqualTo(Unit.right())
        expectThat(runtime.tasks()).isEqualTo(emptyList<RuntimeTask>().right())
    }

    @Test
    fun `each rejection maps to its own error`(): Unit = runBlocking {
        val other = AttemptId(TaskId("j.1"), 1, 1)
        expectThat(runtime.start(start(id, cpuMillis = 1001))).isEqualTo(RuntimeError.NoCapacity.left())
        expectThat(runtime.start(start(id, deadline = 1))).isEqualTo(RuntimeError.DeadlinePassed.left())
        expectThat(runtime.stop(other)).isEqualTo(RuntimeError.NoSuchTask.left())
        runtime.start(start(id))
        expectThat(runtime.start(start(id))).isEqualTo(RuntimeError.Stale.left())
    }

    @Test
    fun `a request of an earlier incarnation cannot start a task`(): Unit = runBlocking {
        client(incarnation = 6).openSession()
        expectThat(runtime.start(start(id))).isEqualTo(RuntimeError.Stale.left())
        expectThat(runtime.openSession()).isEqualTo(RuntimeError.Stale.left())
        expectThat(runtime.tasks()).isEqualTo(emptyList<RuntimeTask>().right())
    }

    @Test
    fun `a lost response and a refused connection are uncertain`(): Unit = runBlocking {
        service.faults.set(Faults(dropResponses = true))
        expectThat(client(5, 1.seconds).start(start(id)).leftOrNull()).isA<RuntimeError.Uncertain>()
        expectThat(runtime.tasks().getOrNull()!!.map { it.id }).containsExactly(id)
        val port = ServerSocket(0).use { it.localPort }
        val closed = WorkerRuntime("http://127.0.0.1:$port", 5)
        expectThat(closed.start(start(id)).leftOrNull()).isA<RuntimeError.Uncertain>()
    }
}
