package org.camphorhall.scheduler.entry

import arrow.core.Either
import arrow.core.left
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import org.camphorhall.core.jobs.JobPhase
import org.camphorhall.process.event
import org.camphorhall.scheduler.protocol.OwnerRequest
import org.camphorhall.scheduler.protocol.OwnerResponse
import org.camphorhall.scheduler.support.OwnerClient
import org.camphorhall.scheduler.support.OwnerFinder
import org.camphorhall.scheduler.support.PeerFailure
import org.camphorhall.scheduler.support.ShardKeys
import org.camphorhall.scheduler.support.SystemClock
import org.camphorhall.scheduler.support.WriteResult
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Sends requests to the owners of the shards. */
internal class OwnerRequestClient(
    private val client: OwnerClient,
    private val shards: List<OwnerFinder>,
    private val overload: OverloadView = OverloadView(SystemClock, shards.size),
) {
    /** Sends [notice] to the owner of [job]. A lost message does no harm, because owners also read the store. */
    suspend fun notifyOwner(job: String, notice: OwnerRequest) {
        sendOrNull(ShardKeys.shardOf(job, shards.size), notice)
    }

    /** Phase of [job] according to its owner; null if the owner does not respond or does not have the job. */
    suspend fun phaseOf(job: String): JobPhase? =
        (sendOrNull(ShardKeys.shardOf(job, shards.size), OwnerRequest.GetPhase(job)) as? OwnerResponse.Phase)?.phase

    /** Number of waiting jobs of a class in all shards; null if an owner does not respond. */
    suspend fun waitingJobs(classId: String): Int? =
        shards.indices.sumOf {
            (sendOrNull(it, OwnerRequest.CountPending(classId)) as? OwnerResponse.PendingCount)?.jobs ?: return null
        }

    /** Requests that the owner of the shard of [job] performs the write of [request], and waits for up to [timeout]. */
    suspend fun write(job: String, request: OwnerRequest, timeout: Duration): WriteResult =
        send(ShardKeys.shardOf(job, shards.size), request, timeout).fold(
            { if (it.isNotSent) WriteResult.Refused(it.detail) else WriteResult.Unknown(it.detail) },
            { (it as? OwnerResponse.WriteOutcome)?.result ?: WriteResult.Refused("the owner does not write") },
        )

    private suspend fun sendOrNull(shard: Int, request: OwnerRequest): OwnerResponse? =
        send(shard, request, REQUEST_TIMEOUT).getOrNull()

    private suspend fun send(shard: Int, request: OwnerRequest, timeout: Duration): Either<PeerFailure, OwnerResponse> {
        val finder = shards[shard]
        val owner = finder.owner
        if (owner == null) {
            finder.requestRefresh()
            return PeerFailure("no owner known", isNotSent = true).left()
        }
        return client.send(owner.address, request, timeout)
            .onLeft {
                logger.event(Level.INFO, "request to the owner failed", "owner" to owner.instance, "reason" to it)
                finder.requestRefresh()
            }
            .onRight {
                if (it is OwnerResponse.Moved) finder.update(it.owner)
                if (it is OwnerResponse.NotOwner) finder.requestRefresh()
                if (it is OwnerResponse.Acknowledged) overload.update(shard, it.loads)
                if (it is OwnerResponse.Phase) overload.update(shard, it.loads)
            }
    }

    private companion object {
        /** About a hundred times the usual response time. After it, callers' requests go to the store. */
        val REQUEST_TIMEOUT = 500.milliseconds
    }
}
