package org.camphorhall.dev.runtime

import arrow.core.Either
import io.ktor.http.HttpMethod
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.camphorhall.core.model.AttemptId
import org.camphorhall.core.model.Resources
import org.camphorhall.core.model.TaskId
import org.camphorhall.dev.http.BufferedResponse
import org.camphorhall.dev.http.Endpoints
import org.camphorhall.dev.http.FaultInjector
import org.camphorhall.dev.http.bodyText
import org.camphorhall.dev.http.longParam
import org.camphorhall.dev.http.param
import kotlin.time.Duration

/** HTTP API of the worker runtime over [RuntimeState]. [clock] returns the instance's monotonic nanoseconds. */
internal class RuntimeService(
    private val instance: String,
    private val rack: String,
    capacity: Resources,
    private val usageLag: Duration,
    private val clock: () -> Long = System::nanoTime,
) {
    private val state = RuntimeState(capacity)
    private val mutex = Mutex()
    val faults = FaultInjector()

    fun defineEndpoints(endpoints: Endpoints) = with(endpoints) {
        endpoint(HttpMethod.Get, "/v1/capacity") {
            val c = state.capacity
            BufferedResponse.json(RuntimeJson.Capacity(instance, c.cpuMillis, c.memoryMib, c.accelerators, rack))
        }
        endpoint(HttpMethod.Post, "/v1/sessions") { call ->
            val incarnation = call.body<RuntimeJson.Session>().incarnation
            toResponse(locked { openSession(incarnation, it) }) { (predecessor, tasks) ->
                BufferedResponse.json(RuntimeJson.OpenedSession(predecessor, tasks.map(::taskJson)))
            }
        }
        endpoint(HttpMethod.Get, "/v1/tasks") { BufferedResponse.json(locked { tasks(it) }.map(::taskJson)) }
        endpoint(HttpMethod.Put, "/v1/tasks/{task}") { call ->
            val b = call.body<RuntimeJson.Start>()
            val id = call.id(b.epoch, b.attempt)
            val payload = if (faults.active.failTasks) FAILING_PAYLOAD else b.payload
            call.mutate { start(id, b.resources, payload, b.checkpoint, b.deadlineNanos, it) }
        }
        endpoint(HttpMethod.Put, "/v1/tasks/{task}/lease") { call ->
            val b = call.body<RuntimeJson.Lease>()
            call.mutate { extend(call.id(b.epoch, b.attempt), b.deadlineNanos, b.ownerEpoch ?: b.epoch, it) }
        }
        endpoint(HttpMethod.Put, "/v1/tasks/{task}/throttle") { call ->
            val b = call.body<RuntimeJson.Throttle>()
            call.mutate { throttle(call.id(b.epoch, b.attempt), b.cpuShare, b.order, it) }
        }
        endpoint(HttpMethod.Post, "/v1/tasks/{task}/checkpoint") { call ->
            val b = call.body<RuntimeJson.Token>()
            call.mutate({ BufferedResponse.json(RuntimeJson.Checkpoint(it)) }) {
                checkpoint(call.id(b.epoch, b.attempt), it)
            }
        }
        endpoint(HttpMethod.Post, "/v1/tasks/{task}/stop") { call ->
            val b = call.body<RuntimeJson.Token>()
            call.mutate({ BufferedResponse.json(taskJson(it)) }) { stop(call.id(b.epoch, b.attempt), it) }
        }
        endpoint(HttpMethod.Delete, "/v1/tasks/{task}") { call ->
            val attempt = call.longParam("attempt").toInt()
            call.mutate { forget(TaskId(call.param("task")), attempt, it) }
        }
        endpoint(HttpMethod.Get, "/v1/usage") { usage() }
        debugEndpoint(HttpMethod.Get, "/debug/history") {
            BufferedResponse.json(locked { RuntimeJson.History(instance, droppedEvents, history(it)) })
        }
        debugEndpoint(HttpMethod.Get, "/debug/violations") {
            BufferedResponse.json(locked { RuntimeJson.Violations(violations.size, violations.toList()) })
        }
    }

    private suspend fun usage(): BufferedResponse = locked { now ->
        val sampled = now - usageLag.inWholeNanoseconds
        val tasks = runningAt(sampled, now).map {
            val cpu = it.payload.usedCpuMillis ?: it.resources.cpuMillis
            val memory = it.payload.usedMemoryMib ?: it.resources.memoryMib
            RuntimeJson.TaskUsage(it.id.task.value, it.id.attempt, (cpu * it.cpuShare).toLong(), memory)
        }
        BufferedResponse.json(RuntimeJson.Usage(sampled, tasks))
    }

    private suspend fun <T> locked(action: RuntimeState.(Long) -> T): T = mutex.withLock { state.action(clock()) }

    /** Runs a mutating request, or rejects it if its incarnation is earlier than the registered one. */
    private suspend fun <T> ApplicationCall.mutate(
        success: (T) -> BufferedResponse = { BufferedResponse() },
        action: RuntimeState.(Long) -> Either<RuntimeState.Rejection, T>,
    ): BufferedResponse {
        val incarnation = requireNotNull(request.header("X-Incarnation")?.toLongOrNull()) { "X-Incarnation is missing" }
        return locked { now ->
            if (acceptsIncarnation(incarnation)) toResponse(action(now), success) else rejectionResponse(STALE)
        }
    }

    private fun <T> toResponse(
        result: Either<RuntimeState.Rejection, T>,
        success: (T) -> BufferedResponse,
    ): BufferedResponse = result.fold(::rejectionResponse, success)

    private fun rejectionResponse(rejection: RuntimeState.Rejection): BufferedResponse {
        val status = when (rejection) {
            RuntimeState.Rejection.NoSuchTask -> 404
            RuntimeState.Rejection.Stale -> 409
            RuntimeState.Rejection.DeadlinePassed -> 410
            RuntimeState.Rejection.NoCapacity -> 507
        }
        return BufferedResponse.error(status, rejection.name)
    }

    private fun taskJson(t: TaskAttempt) = RuntimeJson.Task(
        t.id.task.value,
        t.id.epoch,
        t.id.attempt,
        t.state.name.lowercase(),
        t.checkpoint,
        t.progressMillis,
        t.result,
        t.deadlineNanos,
        t.resources,
        t.ownerEpoch,
    )

    private fun ApplicationCall.id(epoch: Long, attempt: Int) = AttemptId(TaskId(param("task")), epoch, attempt)

    private suspend inline fun <reified T> ApplicationCall.body(): T =
        BufferedResponse.format.decodeFromString(bodyText())

    private companion object {
        const val FAILING_PAYLOAD = """{"runMillis":0,"fail":true}"""
        val STALE = RuntimeState.Rejection.Stale
    }
}
