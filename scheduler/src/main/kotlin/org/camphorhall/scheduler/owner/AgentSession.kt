package org.camphorhall.scheduler.owner

import org.camphorhall.core.jobs.Interference
import org.camphorhall.scheduler.peer.PeerConnection
import org.camphorhall.scheduler.peer.PeerFrame
import org.camphorhall.scheduler.protocol.OwnerMessage
import kotlin.math.abs

/** Connection of one agent to the shard owner. */
internal class AgentSession(val id: Long, private val connection: PeerConnection) {
    /** Whether the profiles of the tasks on the worker were sent to the agent. */
    var hasTaskProfiles = false

    private var respondedAt: Long? = null
    private var grantedAt: Long? = null

    private val sentWeights = HashMap<Pair<String, String>, Double>()

    /**
     * Returns whether a report received at [now] (steady clock, in milliseconds) needs a response, and then records the
     * response as sent. Agents report more often than they need a response. One that grants a lease is not put off by
     * an earlier one that did not.
     */
    fun isResponseDue(now: Long, grantsLease: Boolean): Boolean {
        val last = if (grantsLease) grantedAt else respondedAt
        val isDue = last == null || now - last >= RESPONSE_INTERVAL_MILLIS
        if (isDue) respondedAt = now
        if (isDue && grantsLease) grantedAt = now
        return isDue
    }

    /**
     * Returns the entries of [current] that were not sent yet or whose weight has changed by [MIN_WEIGHT_CHANGE] since,
     * and records them as sent.
     */
    fun interferenceChanges(current: List<Interference>): List<Interference> = current
        .filter { i -> sentWeights[i.serving to i.backfill]?.let { abs(it - i.weight) >= MIN_WEIGHT_CHANGE } ?: true }
        .onEach { sentWeights[it.serving to it.backfill] = it.weight }

    /** Queues [message], or closes the connection if the agent does not keep reading. */
    fun send(message: OwnerMessage) {
        connection.send(PeerFrame.FromOwner(message))
    }

    /** Closes the connection, after telling the agent the new [owner] if it is known. */
    fun close(owner: ShardOwnerRecord?) {
        if (owner != null) connection.send(PeerFrame.NewOwner(owner))
        connection.closeWhenWritten()
    }

    private companion object {
        /** Minimum time between two responses, well below the leases and response timeouts that depend on them. */
        const val RESPONSE_INTERVAL_MILLIS = 250L

        /** A smaller change of a weight changes no task's share by more than a few percent. */
        const val MIN_WEIGHT_CHANGE = 0.3
    }
}
