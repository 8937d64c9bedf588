package org.camphorhall.scheduler.owner

import kotlinx.coroutines.channels.Channel
import org.camphorhall.scheduler.protocol.OwnerMessage

/** The connection of one agent to the owner. */
internal class AgentSession(val id: Long) {
    /** Messages to the agent. The agent answers or drops the connection, so that few messages wait. */
    val outgoing = Channel<OwnerMessage>(CAPACITY)

    /** Whether the agent was told the traits of the tasks on its worker. */
    var knowsTraits = false

    /** Queues [message]; a connection that takes no messages is closed. */
    fun send(message: OwnerMessage) {
        if (!outgoing.trySend(message).isSuccess) outgoing.close()
    }

    private companion object {
        /** Several seconds of messages at the highest rate. */
        const val CAPACITY = 1_024
    }
}
