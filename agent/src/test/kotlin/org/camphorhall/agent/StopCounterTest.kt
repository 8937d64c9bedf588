package org.camphorhall.agent

import kotlinx.collections.immutable.persistentMapOf
import org.camphorhall.core.agent.AgentState
import org.camphorhall.core.agent.AttemptPhase
import org.camphorhall.core.agent.TaskSpec
import org.camphorhall.core.agent.TrackedAttempt
import org.camphorhall.core.model.AttemptId
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.Resources
import org.camphorhall.core.model.TaskId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class StopCounterTest {
    private val now = MonotonicInstant(0)

    /** Guards against an eviction metric that counts each repeated stop while the runtime has not confirmed it. */
    @Test
    fun `counts a repeated stop of an attempt once`() {
        val reasons = mutableListOf<String>()
        val counter = StopCounter(reasons::add)
        for (attempt in listOf(1, 1, 1, 2, 2)) {
            val id = AttemptId(TaskId("j.0"), 1, attempt)
            counter.record(id, stateWithStopping(id))
        }
        expectThat(reasons) isEqualTo mutableListOf("latency-critical-load", "latency-critical-load")
    }

    private fun stateWithStopping(id: AttemptId): AgentState {
        val spec = TaskSpec(null, null, Resources.None)
        val reason = Reason.LatencyCriticalLoad
        val attempt = TrackedAttempt(id, 0, spec, AttemptPhase.Stopping, now, now, now, reason = reason)
        return AgentState(incarnation = 1, attempts = persistentMapOf(id.task to attempt))
    }
}
