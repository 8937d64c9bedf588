package org.camphorhall.core.fuzz

import org.camphorhall.core.agent.AgentEvent
import org.camphorhall.core.agent.Backend
import org.camphorhall.core.agent.BackendAnswer
import org.camphorhall.core.agent.Request
import org.camphorhall.core.model.BackendId
import org.camphorhall.core.model.ClassName
import org.camphorhall.core.model.Resources
import kotlin.time.Duration.Companion.milliseconds

/** A backend server next to an agent. It finishes the requests it has started even if the agent crashes. */
internal class BackendModel(
    private val cluster: SimulatedCluster,
    private val agent: AgentNode,
    val id: BackendId,
    private val classes: Set<ClassName>,
) : Node(cluster.sim, id.value) {
    private class Execution(val id: String, val request: Request, val agentGeneration: Int)

    private val executions = mutableMapOf<String, Execution>()
    private var leaving = false
    private var leaveStartedAt = 0L

    init {
        announce()
        every(300 * MS) {
            if (leaving) leaveNotice()
            announce()
        }
    }

    /** Announces this server, also while it leaves, to give a restarted agent its number of running requests. */
    private fun announce() {
        val closed = leaving && cluster.fault != InjectedFault.IgnoresLeave
        val expires = agent.clock() + 4_000.milliseconds
        val backend = Backend(id, classes, id.value, SLOTS, PER_REQUEST, expires, closed, running = executions.size)
        callAgent { agent.step(AgentEvent.BackendAnnounced(backend)) }
    }

    /** Calls the agent over loopback; the call is dropped if the agent crashes before delivery. */
    private fun callAgent(f: () -> Unit) {
        val gen = agent.generation
        sim.after(sim.random.nextLong(MS / 10, MS)) { agent.deliverToGeneration(gen, f) }
    }

    /** Starts to leave: repeats the leave notice to the agent and lets running requests end normally. */
    fun leave() {
        leaving = true
        leaveStartedAt = sim.now
        leaveNotice()
    }

    private fun leaveNotice() = callAgent {
        cluster.oracle.leaveNotice(id.value)
        if (cluster.fault != InjectedFault.IgnoresLeave) agent.step(AgentEvent.BackendLeaving(id))
    }

    /** Executes a request that the agent dispatched in generation [agentGeneration]. */
    fun execute(request: Request, agentGeneration: Int) {
        if (!alive) {
            respond(request, agentGeneration, BackendAnswer.NotReached, "")
            return
        }
        val execution = Execution("${request.id}@${id.value}#${cluster.nextId()}", request, agentGeneration)
        executions[execution.id] = execution
        cluster.oracle.executionStarted(agent.instance.name, id.value, request.id.value, execution.id, PER_REQUEST)
        val millis = if (sim.chance(5.0)) sim.randomMillis(300, 2_000) else sim.randomMillis(2, 80)
        val answer = if (sim.chance(3.0)) BackendAnswer.Failed else BackendAnswer.Completed
        later(millis) { end(execution, answer) }
    }

    private fun end(execution: Execution, answer: BackendAnswer) {
        executions.remove(execution.id) ?: return
        cluster.oracle.executionEnded(agent.instance.name, execution.id)
        respond(execution.request, execution.agentGeneration, answer, execution.id)
    }

    private fun respond(request: Request, gen: Int, answer: BackendAnswer, body: String) {
        sim.after(sim.random.nextLong(MS / 10, 5 * MS)) {
            agent.deliverToGeneration(gen) { agent.backendResponded(request.id, answer, body) }
        }
    }

    /** Ends the process; its running requests end without a response. */
    fun kill() {
        executions.values.toList().forEach { end(it, BackendAnswer.Lost) }
        crash()
    }

    /** Whether no requests run and it has listened for late requests for 3.5 s since its leave notice. */
    fun canExit() = leaving && executions.isEmpty() && sim.now - leaveStartedAt > 3_500 * MS

    /** Returns the ids of running executions that generation [gen] of the agent dispatched. */
    fun runningFor(gen: Int): List<String> = executions.values.filter { it.agentGeneration == gen }.map { it.id }

    private companion object {
        const val SLOTS = 2

        /** Resources charged for one running request. */
        val PER_REQUEST = Resources(cpuMillis = 400, memoryMib = 200)
    }
}
