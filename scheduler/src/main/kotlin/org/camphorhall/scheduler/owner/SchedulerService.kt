package org.camphorhall.scheduler.owner

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import org.camphorhall.process.event
import org.camphorhall.scheduler.peer.PeerConnection
import org.camphorhall.scheduler.peer.PeerFrame
import org.camphorhall.scheduler.protocol.OwnerRequest
import org.camphorhall.scheduler.protocol.OwnerResponse
import org.camphorhall.scheduler.support.JobRecordStore
import org.camphorhall.scheduler.support.WriteResult
import java.util.concurrent.atomic.AtomicLong

private val logger = KotlinLogging.logger {}

/** Serves agents and entries for the shard that this process owns, if any. */
internal class SchedulerService(
    private val records: JobRecordStore,
    private val owner: () -> ShardOwner?,
    /** Record of the newest owner that is another process; null if none is known. */
    private val otherOwner: () -> ShardOwnerRecord?,
) {
    private val lastSession = AtomicLong()

    /** Serves [connection] until it ends. */
    suspend fun serve(connection: PeerConnection): Nothing {
        var attachment: Attachment? = null
        try {
            coroutineScope {
                connection.run { frame ->
                    when (frame) {
                        is PeerFrame.Request -> launch {
                            connection.send(PeerFrame.Response(frame.id, respond(frame.request)))
                        }
                        is PeerFrame.FromAgent -> {
                            val current = attachment?.takeIf { it.shard === owner() }
                                ?: reattach(attachment, connection).also { attachment = it }
                            current?.shard?.send(OwnerEvent.Reported(current.session, frame.message))
                        }
                        is PeerFrame.Response, is PeerFrame.FromOwner, is PeerFrame.NewOwner -> Unit
                    }
                }
            }
        } finally {
            attachment?.end()
        }
    }

    /** Replaces [last], whose shard has closed; the shard closes only the connections that it has reports of. */
    private fun reattach(last: Attachment?, connection: PeerConnection): Attachment? {
        last?.end()
        return attach(connection)
    }

    /** Attaches the agent at [connection] to the shard, or directs it to the owner if that is another process. */
    private fun attach(connection: PeerConnection): Attachment? {
        val session = AgentSession(lastSession.incrementAndGet(), connection)
        val shard = owner()
        if (shard == null) session.close(otherOwner())
        return shard?.let { Attachment(it, session) }
    }

    private class Attachment(val shard: ShardOwner, val session: AgentSession) {
        fun end() {
            logger.event(Level.INFO, "agent connection ended", "session" to session.id)
            shard.send(OwnerEvent.Detached(session))
        }
    }

    private suspend fun respond(request: OwnerRequest): OwnerResponse = when (request) {
        is OwnerRequest.StoreJob -> {
            val result = request.fence?.let { records.store(request.record, it) } ?: records.store(request.record)
            if (result is WriteResult.Created) {
                notifyOwner(listOf(StoredRecord(request.record, result.revision)), emptyList())
            }
            OwnerResponse.WriteOutcome(result)
        }
        is OwnerRequest.StoreCancellation -> {
            val result = records.storeCancellation(request.id)
            if (result == WriteResult.Stored) notifyOwner(emptyList(), listOf(request.id))
            OwnerResponse.WriteOutcome(result)
        }
        else -> owner()?.handleRequest(request) ?: otherOwner()?.let(OwnerResponse::Moved) ?: OwnerResponse.NotOwner
    }

    private fun notifyOwner(jobs: List<StoredRecord>, cancelled: List<String>) {
        owner()?.send(OwnerEvent.InboxUpdated(jobs, cancelled))
    }
}
