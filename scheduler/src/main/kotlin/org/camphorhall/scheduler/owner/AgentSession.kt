package org.camphorhall.scheduler.owner

import kotlinx.coroutines.channels.Channel
import org.camphorhall.core.jobs.Interference
import org.camphorhall.scheduler.protocol.OwnerMessage
import kotlin.math.abs

/** The connection of one agent to the owner. */
internal class AgentSession(val id: Long) {
    /** Messages to the agent. The agent answers or drops the connection, so that few messages wait. */
    val outgoing = Channel<OwnerMessage>(CAPACITY)

    /** Whether the agent was told the traits of the tasks on its worker. */
    var hasTaskProfiles = false

    private var respondedAt: Long? = null

    private val sentWeights = HashMap<Pair<String, String>, Double>()

    /** Whether a report at [now] is to be answered: agents need an answer now and then, not to each report. */
    fun isResponseDue(now: Long): Boolean {
        val isDue = respondedAt?.let { now - it >= RESPONSE_INTERVAL_MILLIS } ?: true
        if (isDue) respondedAt = now
        return isDue
    }

    /** What of [current] the agent was not told yet, or differs from that by much. */
    fun interferenceChanges(current: List<Interference>): List<Interference> = current
        .filter { d -> sentWeights[d.serving to d.backfill]?.let { abs(it - d.weight) >= MIN_WEIGHT_CHANGE } ?: true }
        .onEach { sentWeights[it.serving to it.backfill] = it.weight }

    /** Queues [message]; a connection that takes no messages is closed. */
    fun send(message: OwnerMessage) {
        if (!outgoing.trySend(message).isSuccess) outgoing.close()
    }

    private companion object {
        /** Several seconds of messages at the highest rate. */
        const val CAPACITY = 1_024

        /** Shortest time between two answers, well under the leases and silences that follow from them. */
        const val RESPONSE_INTERVAL_MILLIS = 250L

        /** Smaller changes of a weight change the share of no task by more than a few percent. */
        const val MIN_WEIGHT_CHANGE = 0.3
    }
}
