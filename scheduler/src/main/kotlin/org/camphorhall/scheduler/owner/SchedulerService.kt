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

/** Takes the messages of agents and entries for the shard that this process owns, if it does. */
internal class SchedulerService(
    private val records: JobRecordStore,
    private val owner: () -> ShardOwner?,
) : SchedulerCoroutineImplBase() {
    private val lastSession = AtomicLong()

    override fun attach(requests: Flow<Document>): Flow<Document> = channelFlow {
        val shard = owner() ?: throw StatusException(Status.FAILED_PRECONDITION.withDescription("not the owner"))
        val session = AgentSession(lastSession.incrementAndGet())
        launch {
            for (m in session.outgoing) send(documentOf(OwnerMessage.serializer(), m))
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
        val reply = when (val question = request.decode(OwnerRequest.serializer())) {
            is OwnerRequest.StoreJob -> {
                val result = records.store(question.record)
                if (result == WriteResult.Stored) found(listOf(question.record), emptyList())
                OwnerResponse.WriteOutcome(result)
            }
            is OwnerRequest.StoreCancellation -> {
                val result = records.storeCancellation(question.id)
                if (result == WriteResult.Stored) found(emptyList(), listOf(question.id))
                OwnerResponse.WriteOutcome(result)
            }
            else -> owner()?.ask(question) ?: OwnerResponse.NotOwner
        }
        return documentOf(OwnerResponse.serializer(), reply)
    }

    private fun found(jobs: List<JobRecord>, cancelled: List<String>) {
        owner()?.send(OwnerEvent.Found(jobs, cancelled))
    }
}
