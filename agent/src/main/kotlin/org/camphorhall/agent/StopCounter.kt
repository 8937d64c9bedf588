package org.camphorhall.agent

import org.camphorhall.core.agent.AgentState
import org.camphorhall.core.model.AttemptId

/** Counts the stops of attempts by reason. Not safe for concurrent use. */
internal class StopCounter(private val onStop: (reason: String) -> Unit) {
    private val counted = HashSet<AttemptId>()

    /** Records a stop of [id]. The state machine repeats it until the runtime confirms it; only the first counts. */
    fun record(id: AttemptId, state: AgentState) {
        counted.retainAll(state.attempts.values.map { it.id }.toSet())
        val reason = state.attempts[id.task]?.reason ?: return
        if (counted.add(id)) onStop(reason.code)
    }
}
