package org.camphorhall.core.agent

import org.camphorhall.core.model.AttemptId
import org.camphorhall.core.model.BackendId
import org.camphorhall.core.model.ClassName
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.RequestId
import org.camphorhall.core.model.RequestOutcome
import org.camphorhall.core.model.Resources
import org.camphorhall.core.model.TaskId
import org.camphorhall.core.model.TenantName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

class AgentFencingTest {
    private val now = MonotonicInstant(5_000)
    private val machine = AgentMachine()
    private val restarted = AgentState(incarnation = 2, capacity = Resources(1_000, 1_000))
    private val request =
        Request(RequestId("r"), ClassName("quotes"), TenantName("t"), now + 1.seconds, idempotent = false)

    /** Guards against a run after the earlier incarnation reported `not-run`: its history of ids is lost. */
    @Test
    fun `refuses a request sent to an earlier incarnation`() {
        val t = machine.step(restarted, AgentEvent.RequestArrived(request, incarnation = 1), now)
        val outcome = RequestOutcome.NotRun(Reason.Stale)
        expectThat(t.actions).isEqualTo(listOf(AgentAction.Respond(request.id, outcome)))
        expectThat(t.state.queue.size).isEqualTo(0)
    }

    /** Guards against `not-run` for a request that the earlier incarnation dispatched to its backend server. */
    @Test
    fun `does not confirm a withdrawal from an earlier incarnation`() {
        val e = AgentEvent.RequestWithdrawn(request.id, incarnation = 1, deadline = request.deadline)
        expectThat(machine.step(restarted, e, now).actions)
            .isEqualTo(listOf(AgentAction.RespondToWithdrawal(request.id, notRun = false)))
    }

    /** Guards against `not-run` for a request that ran so long ago that its id is forgotten. */
    @Test
    fun `does not confirm a withdrawal after the history ended`() {
        val late = now + 32.seconds
        val e = AgentEvent.RequestWithdrawn(request.id, incarnation = 2, deadline = request.deadline)
        expectThat(machine.step(restarted, e, late).actions)
            .isEqualTo(listOf(AgentAction.RespondToWithdrawal(request.id, notRun = false)))
    }

    /** Guards against a task that waits for ever: its start was assigned before a takeover and never arrived. */
    @Test
    fun `reports the start of an earlier owner as refused`() {
        val state = restarted.copy(shardEpochs = restarted.shardEpochs.put(0, 5))
        val id = AttemptId(TaskId("j.0"), epoch = 4, attempt = 1)
        val start = StartCommand(id, shard = 0, incarnation = 2, TaskSpec(null, null, Resources(1)))
        val t = machine.step(state, AgentEvent.CommandReceived(2, now, listOf(start), emptyList()), now)
        expectThat(t.state.attempts[id.task]?.phase).isEqualTo(AttemptPhase.Refused)
        expectThat(t.actions).isEqualTo(emptyList())
    }

    /** Guards against the loss of a task whose end an earlier owner acknowledged without knowing the attempt. */
    @Test
    fun `takes acknowledgements from the latest owner only`() {
        val id = AttemptId(TaskId("j.0"), epoch = 5, attempt = 1)
        val held = TrackedAttempt(id, 0, TaskSpec(null, null, Resources(1)), AttemptPhase.Finished, now, now, now)
        val state = restarted.copy(
            attempts = restarted.attempts.put(id.task, held),
            shardEpochs = restarted.shardEpochs.put(0, 5),
        )
        val kept = listOf(4L, 5L).map { epoch ->
            val e = AgentEvent.HeartbeatAnswered(now, mapOf(0 to epoch), listOf(id), emptyList())
            id.task in machine.step(state, e, now).state.attempts
        }
        expectThat(kept).isEqualTo(listOf(true, false))
    }

    /** Guards against a second run: an inventory read before the start made a running task look gone. */
    @Test
    fun `keeps an attempt that an earlier inventory does not list`() {
        val id = AttemptId(TaskId("j.0"), epoch = 5, attempt = 1)
        val spec = TaskSpec(null, null, Resources(1))
        val until = now + 9.seconds
        val attempt = TrackedAttempt(id, 0, spec, AttemptPhase.Starting, until, until, acceptedAt = now)
        val item = InventoryItem(id, AttemptPhase.Running, spec.resources, deadline = now + 9.seconds)
        val starting = restarted.copy(attempts = restarted.attempts.put(id.task, attempt))
        val listed = machine.step(starting, AgentEvent.InventoryRead(now + 2.seconds, listOf(item)), now + 3.seconds)
        val late = AgentEvent.InventoryRead(now + 1.seconds, emptyList())
        expectThat(machine.step(listed.state, late, now + 4.seconds).state.attempts[id.task]?.phase)
            .isEqualTo(AttemptPhase.Running)
    }

    /** Guards against more work than the capacity: requests of the predecessor still run after a restart. */
    @Test
    fun `charges the requests of its predecessor until they end`() {
        val fresh = AgentState(incarnation = 2)
        val ready = AgentEvent.RuntimeReady(Resources(1_000, 1_000), emptyList(), predecessor = true)
        val name = ClassName("quotes")
        val backend = Backend(BackendId("b"), setOf(name), "", 2, Resources(500, 500), now + 60.seconds, running = 2)
        val charged = listOf(2, 1, 2).runningFold(machine.step(fresh, ready, now).state) { s, n ->
            machine.step(s, AgentEvent.BackendAnnounced(backend.copy(running = n)), now).state
        }.map { it.used.cpuMillis }
        expectThat(charged).isEqualTo(listOf(0, 1_000, 500, 500))
        val early = machine.step(machine.step(fresh, ready, now).state, AgentEvent.RequestArrived(request, 2), now)
        expectThat(early.actions)
            .isEqualTo(listOf(AgentAction.Respond(request.id, RequestOutcome.NotRun(Reason.NoBackendServer))))
    }
}
