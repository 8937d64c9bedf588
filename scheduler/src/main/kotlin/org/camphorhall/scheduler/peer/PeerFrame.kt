package org.camphorhall.scheduler.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.camphorhall.scheduler.owner.ShardOwnerRecord
import org.camphorhall.scheduler.protocol.AgentMessage
import org.camphorhall.scheduler.protocol.OwnerMessage
import org.camphorhall.scheduler.protocol.OwnerRequest
import org.camphorhall.scheduler.protocol.OwnerResponse

/** Message on a connection between two scheduler processes. */
@Serializable
internal sealed interface PeerFrame {
    /** Request that is answered by the [Response] with the same [id]. Responses may arrive in any order. */
    @Serializable
    @SerialName("ask")
    class Request(val id: Long, val request: OwnerRequest) : PeerFrame

    /** Response to the [Request] with the same [id]. */
    @Serializable
    @SerialName("reply")
    class Response(val id: Long, val response: OwnerResponse) : PeerFrame

    /** Report of an agent. The first one attaches the agent to the owner. */
    @Serializable
    @SerialName("report")
    class FromAgent(val message: AgentMessage) : PeerFrame

    /** Tells an agent that [owner] owns the shard; the sender, which does not, closes the connection. */
    @Serializable
    @SerialName("newOwner")
    class NewOwner(val owner: ShardOwnerRecord) : PeerFrame

    /** Message of the owner to an attached agent. */
    @Serializable
    @SerialName("owner")
    class FromOwner(val message: OwnerMessage) : PeerFrame
}
