package org.camphorhall.core.agent

import org.camphorhall.core.model.AttemptId
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.Resources
import org.camphorhall.core.model.TaskId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests what a restarted agent does about attempts whose stop or throttle its earlier process had begun. */
internal class AgentRestartTest {
    private val machine = AgentMachine()
    private val id = AttemptId(TaskId("j.0"), epoch = 4, attempt = 1)
    private var now = MonotonicInstant(0)
    private var state = AgentState(incarnation = 2)
    private val item = InventoryItem(id, AttemptPhase.Running, Resources(400, 100), deadline = now + 9.seconds)
    private val shard = shardOf(id.task, AgentSettings().shardCount)

    private fun step(event: AgentEvent): List<AgentAction> {
        now += 100.milliseconds
        val t = machine.step(state, event, now)
        state = t.state
        return t.actions
    }

    private fun answer(stops: List<StopCommand>) =
        step(AgentEvent.HeartbeatAnswered(now, mapOf(shard to 5L), emptyList(), stops))

    /** Guards against a cancelled attempt that runs on because the agent that was to stop it was replaced. */
    @Test
    fun `a stop that the earlier process had received is carried out when the owner repeats it`() {
        step(AgentEvent.RuntimeReady(Resources(1_000, 1_000), listOf(item)))
        val stop = StopCommand(id, shard, epoch = 5, Reason.Cancelled)
        expectThat(answer(listOf(stop))).containsExactly(AgentAction.StopTask(id))
        // The runtime does not answer, so the call is repeated, also after a list that shows the attempt as running.
        step(AgentEvent.InventoryRead(now, listOf(item)))
        expectThat(step(AgentEvent.Tick)).containsExactly(AgentAction.StopTask(id))
        step(AgentEvent.TaskStopped(item.copy(phase = AttemptPhase.Stopped)))
        expectThat(step(AgentEvent.Tick)).isEmpty()
        expectThat(state.attempts[id.task]?.phase).isEqualTo(AttemptPhase.Stopped)
        expectThat(state.attempts[id.task]?.reason).isEqualTo(Reason.Cancelled)
    }

    /** Guards against an attempt that stays throttled because only the earlier process knew its share. */
    @Test
    fun `the share of a running attempt is restored until the runtime confirms it`() {
        step(AgentEvent.RuntimeReady(Resources(1_000, 1_000), listOf(item)))
        val repeated = List(2) { step(AgentEvent.Tick).filterIsInstance<AgentAction.ThrottleTask>().single() }
        expectThat(repeated.map { it.cpuShare }).containsExactly(1.0, 1.0)
        expectThat(state.used).isEqualTo(item.resources)
        step(AgentEvent.TaskThrottled(id, repeated.first().order))
        expectThat(step(AgentEvent.Tick).filterIsInstance<AgentAction.ThrottleTask>()).isEmpty()
    }
}
