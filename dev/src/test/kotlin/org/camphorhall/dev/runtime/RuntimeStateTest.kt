package org.camphorhall.dev.runtime

import arrow.core.left
import arrow.core.right
import org.camphorhall.core.model.AttemptId
import org.camphorhall.core.model.Resources
import org.camphorhall.core.model.TaskId
import org.camphorhall.dev.runtime.RuntimeState.Rejection
import org.camphorhall.dev.runtime.TaskAttempt.State
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

/** Guards against tasks that run after their lease expired, alongside a newer attempt or beyond the capacity. */
internal class RuntimeStateTest {
    private val state = RuntimeState(Resources(cpuMillis = 1000, memoryMib = 100))
    private val half = Resources(cpuMillis = 500, memoryMib = 10)

    private fun id(epoch: Long = 1, attempt: Int = 1, task: String = "j.0") = AttemptId(TaskId(task), epoch, attempt)

    private fun ms(n: Long) = n * TaskAttempt.NANOS_PER_MILLI

    private fun start(
        id: AttemptId = id(),
        deadline: Long = 10_000,
        now: Long = 0,
        checkpoint: String? = null,
        resources: Resources = half,
        payload: String = """{"runMillis":2000,"result":"done"}""",
    ) = state.start(id, resources, payload, checkpoint, ms(deadline), ms(now))

    private fun task(now: Long) = state.tasks(ms(now)).single()

    /** The attempt with token (2, 2) ran, was stopped and was forgotten. */
    @ParameterizedTest
    @CsvSource(
        "1, 9, false",
        "2, 1, false",
        "2, 2, false",
        "2, 3, true",
        "3, 1, true",
    )
    fun `only a greater token starts a task, also after the earlier attempt was forgotten`(
        epoch: Long,
        attempt: Int,
        accepted: Boolean,
    ) {
        start(id(2, 2))
        state.stop(id(2, 2), ms(1))
        state.forget(TaskId("j.0"), 2, ms(1))
        expectThat(start(id(epoch, attempt), now = 2)).isEqualTo(if (accepted) Unit.right() else Rejection.Stale.left())
    }

    @Test
    fun `a running attempt is stopped when a newer one starts`() {
        start(id(attempt = 1))
        start(id(attempt = 2), now = 100)
        expectThat(state.history(ms(100)).map { "${it.event} ${it.attempt} ${it.reason}" })
            .containsExactly("start 1 null", "stopped 1 superseded", "start 2 null")
        expectThat(state.stop(id(attempt = 1), ms(100))).isEqualTo(Rejection.Stale.left())
        expectThat(state.extend(id(attempt = 1), ms(500), 1, ms(100))).isEqualTo(Rejection.Stale.left())
    }

    @Test
    fun `an earlier incarnation is rejected once a later one has registered`() {
        state.openSession(5, 0)
        expectThat(state.openSession(4, 0)).isEqualTo(Rejection.Stale.left())
        expectThat(state.acceptsIncarnation(4)).isFalse()
        expectThat(state.acceptsIncarnation(5)).isTrue()
    }

    /** The task runs for 2000 ms; a checkpoint is taken at 400 ms. */
    @ParameterizedTest
    @CsvSource(
        // deadline, now, state, progress, end
        "1000, 999, Running, 999, 999",
        "1000, 1000, Stopped, 400, 1000",
        "1000, 9000, Stopped, 400, 1000",
        "2000, 9000, Finished, 2000, 2000",
        "1999, 9000, Stopped, 400, 1999",
    )
    fun `a task ends without a request at its completion or its deadline`(
        deadline: Long,
        now: Long,
        expected: State,
        progress: Long,
        end: Long,
    ) {
        start(deadline = deadline)
        state.checkpoint(id(), ms(400))
        // Progress after the checkpoint must be lost at the deadline, even if it was read before.
        expectThat(task(800).progressMillis).isEqualTo(800)
        val task = task(now)
        expectThat(task.state).isEqualTo(expected)
        expectThat(task.progressMillis).isEqualTo(progress)
        expectThat(task.updatedNanos).isEqualTo(ms(end))
        expectThat(task.checkpoint).isEqualTo("p:400")
    }

    @Test
    fun `a lease can be extended only before its deadline`() {
        start(deadline = 1000)
        expectThat(state.extend(id(), ms(1500), 1, ms(999))).isEqualTo(Unit.right())
        expectThat(task(1499).state).isEqualTo(State.Running)
        expectThat(state.extend(id(), ms(3000), 1, ms(1500))).isEqualTo(Rejection.NoSuchTask.left())
        expectThat(start(id(attempt = 2), deadline = 1600, now = 1600)).isEqualTo(Rejection.DeadlinePassed.left())
    }

    @Test
    fun `a task resumes from its checkpoint and finishes once`() {
        start()
        val stopped = state.stop(id(), ms(1200)).getOrNull()!!
        expectThat(stopped.checkpoint).isEqualTo("p:1200")
        start(id(attempt = 2), now = 5000, checkpoint = stopped.checkpoint)
        expectThat(task(5799).state).isEqualTo(State.Running)
        expectThat(task(5800).state).isEqualTo(State.Finished)
        expectThat(state.history(ms(9000)).map { it.event }).containsExactly("start", "stopped", "start", "finished")
    }

    /** Guards against an agent that accepts new work while requests of its predecessor may still run. */
    @Test
    fun `a session reports whether the agent has a predecessor`() {
        val predecessors = listOf(5L, 5L, 7L, 7L).map { n -> state.openSession(n, 0).getOrNull()?.first }
        expectThat(predecessors).containsExactly(false, false, true, true)
    }

    /** Guards against a delayed request that restores CPU which a later throttle took from the task. */
    @Test
    fun `a throttle that is older than the last one is rejected`() {
        start()
        state.throttle(id(), 0.5, 2, ms(1000))
        expectThat(state.throttle(id(), 1.0, 1, ms(1100))).isEqualTo(Rejection.Stale.left())
        expectThat(task(2000).cpuShare).isEqualTo(0.5)
    }

    @Test
    fun `progress is proportional to the CPU share`() {
        start()
        state.throttle(id(), 0.5, 1, ms(1000))
        expectThat(task(2000).progressMillis).isEqualTo(1500)
        state.throttle(id(), 0.0, 2, ms(2000))
        expectThat(task(5000).progressMillis).isEqualTo(1500)
        state.throttle(id(), 1.0, 3, ms(5000))
        expectThat(task(9000).updatedNanos).isEqualTo(ms(5500))
    }

    @ParameterizedTest
    @CsvSource(
        "{'runMillis':10,'fail':true}|     | 10",
        "no JSON                     |     | 0",
        "{'runMillis':10}            | q:5 | 0",
        delimiter = '|',
        quoteCharacter = '~',
    )
    fun `a task fails if its payload says so or is unreadable`(payload: String, checkpoint: String?, end: Long) {
        start(payload = payload.replace('\'', '"'), checkpoint = checkpoint)
        expectThat(task(20).state).isEqualTo(State.Failed)
        expectThat(task(20).updatedNanos).isEqualTo(ms(end))
    }

    @Test
    fun `a start over capacity is rejected and recorded as a violation`() {
        start(id(task = "a"))
        start(id(task = "b"))
        expectThat(start(id(task = "c"), now = 1)).isEqualTo(Rejection.NoCapacity.left())
        expectThat(state.violations).hasSize(1)

        state.stop(id(task = "a"), ms(2))
        expectThat(start(id(task = "c"), now = 2)).isEqualTo(Unit.right())
        expectThat(state.violations).hasSize(1)
    }

    @Test
    fun `only an ended task can be forgotten`() {
        start()
        expectThat(state.forget(TaskId("j.0"), 1, ms(1))).isEqualTo(Rejection.Stale.left())
        state.stop(id(), ms(2))
        expectThat(state.forget(TaskId("j.0"), 1, ms(3))).isEqualTo(Unit.right())
        expectThat(state.tasks(ms(3))).hasSize(0)
    }
}
