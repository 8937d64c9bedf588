package org.camphorhall.core.agent

import org.camphorhall.core.model.AttemptId
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.Resources
import org.camphorhall.core.model.TaskId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class AgentAdmissionTest {
    private val now = MonotonicInstant(5_000)
    private val machine = AgentMachine()

    /** Guards against starting tasks on processors that a throttle freed, since the shares could not be restored. */
    @Test
    fun `charges throttled tasks with their declared resources at admission`() {
        val cases = listOf(
            Case(shares = listOf(1.0, 1.0, 1.0, 1.0), admitted = true),
            Case(shares = listOf(1.0, 1.0, 1.0, 1.0, 1.0), admitted = false),
            Case(shares = listOf(0.5, 0.5, 1.0, 1.0, 1.0), admitted = false),
        )
        for (c in cases) {
            val running = c.shares.mapIndexed { n, share ->
                val id = AttemptId(TaskId("running.$n"), epoch = 1, attempt = 1)
                TrackedAttempt(id, 0, spec, AttemptPhase.Running, now, now, now, cpuShare = share)
            }
            val state = running.fold(AgentState(incarnation = 1, capacity = Resources(4_000, 1_000))) { s, a ->
                s.copy(attempts = s.attempts.put(a.id.task, a))
            }
            val id = AttemptId(TaskId("new.0"), epoch = 1, attempt = 1)
            val start = StartCommand(id, shard = 0, incarnation = 1, spec)
            val t = machine.step(state, AgentEvent.CommandReceived(1, now, listOf(start), emptyList()), now)
            val reason = Reason.NoCapacity.takeUnless { c.admitted }
            expectThat(t.state.attempts[id.task]?.reason).describedAs("reason for $c").isEqualTo(reason)
        }
    }

    private data class Case(val shares: List<Double>, val admitted: Boolean)

    private companion object {
        val spec = TaskSpec(null, null, Resources(700, 100))
    }
}
