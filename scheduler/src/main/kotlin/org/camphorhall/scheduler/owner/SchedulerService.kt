package org.camphorhall.scheduler.owner

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.grpc.Status
import io.grpc.StatusException
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.channelFlow
import kotlinx.coroutines.launch
import org.camphorhall.core.jobs.JobRecord
import org.camphorhall.process.event
import org.camphorhall.scheduler.protocol.AgentMessage
import org.camphorhall.scheduler.protocol.OwnerMessage
import org.camphorhall.scheduler.protocol.OwnerRequest
import org.camphorhall.scheduler.protocol.OwnerResponse
import org.camphorhall.scheduler.protocol.decode
import org.camphorhall.scheduler.protocol.documentOf
import org.camphorhall.scheduler.support.JobRecordStore
import org.camphorhall.scheduler.support.WriteResult
import org.camphorhall.wire.proto.Document
import org.camphorhall.wire.proto.SchedulerGrpcKt.SchedulerCoroutineImplBase
import java.util.concurrent.atomic.AtomicLong

private val logger = KotlinLogging.logger {}

/** Serves agents and entries for the shard that this process owns, if any. */
internal class SchedulerService(
    private val records: JobRecordStore,
    private val owner: () -> ShardOwner?,
) : SchedulerCoroutineImplBase() {
    private val lastSession = AtomicLong()

    override fun attach(requests: Flow<Document>): Flow<Document> = channelFlow {
        val shard = owner() ?: throw StatusException(Status.FAILED_PRECONDITION.withDescription("not the owner"))
        val session = AgentSession(lastSession.incrementAndGet())
        launch {
            for (message in session.outgoing) send(documentOf(OwnerMessage.serializer(), message))
            close(StatusException(Status.UNAVAILABLE.withDescription("connection closed by the owner")))
        }
        try {
            requests.collect { shard.send(OwnerEvent.Reported(session, it.decode(AgentMessage.serializer()))) }
        } finally {
            logger.event(Level.INFO, "agent connection ended", "session" to session.id)
            shard.send(OwnerEvent.Detached(session))
            session.outgoing.close()
        }
    }

    override suspend fun ask(request: Document): Document {
        val response = when (val ownerRequest = request.decode(OwnerRequest.serializer())) {
            is OwnerRequest.StoreJob -> {
                val result = records.store(ownerRequest.record)
                if (result == WriteResult.Stored) notifyOwner(listOf(ownerRequest.record), emptyList())
                OwnerResponse.WriteOutcome(result)
            }
            is OwnerRequest.StoreCancellation -> {
                val result = records.storeCancellation(ownerRequest.id)
                if (result == WriteResult.Stored) notifyOwner(emptyList(), listOf(ownerRequest.id))
                OwnerResponse.WriteOutcome(result)
            }
            else -> owner()?.handleRequest(ownerRequest) ?: OwnerResponse.NotOwner
        }
        return documentOf(OwnerResponse.serializer(), response)
    }

    private fun notifyOwner(jobs: List<JobRecord>, cancelled: List<String>) {
        owner()?.send(OwnerEvent.InboxUpdated(jobs, cancelled))
    }
}
