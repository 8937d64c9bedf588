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
import org.camphorhall.scheduler.support.WriteResult
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Asks the owners of the shards. */
internal class OwnerQuestions(private val client: OwnerClient, private val shards: List<OwnerFinder>) {
    /** Tells the owner of [job] something. A message that is lost does no harm: owners also read the store. */
    suspend fun tell(job: String, news: OwnerRequest) {
        ask(ShardKeys.shardOf(job, shards.size), news)
    }

    /** State of [job] by its owner; null if it does not answer or does not know the job. */
    suspend fun phaseOf(job: String): JobPhase? =
        (ask(ShardKeys.shardOf(job, shards.size), OwnerRequest.GetPhase(job)) as? OwnerResponse.Phase)?.phase

    /** Number of waiting jobs of a class in all shards; null if an owner does not answer. */
    suspend fun waiting(classId: String): Int? =
        shards.indices.sumOf {
            (ask(it, OwnerRequest.CountPending(classId)) as? OwnerResponse.PendingCount)?.jobs ?: return null
        }

    /** Asks the owner of the shard of [job] to make [write]. */
    suspend fun write(job: String, write: OwnerRequest): WriteResult =
        answerOf(ShardKeys.shardOf(job, shards.size), write, WRITE_TIMEOUT).fold(
            { if (it.isPortClosed) WriteResult.Refused(it.detail) else WriteResult.Unknown(it.detail) },
            { (it as? OwnerResponse.WriteOutcome)?.result ?: WriteResult.Refused("the owner does not write") },
        )

    private suspend fun ask(shard: Int, question: OwnerRequest): OwnerResponse? =
        answerOf(shard, question, TIMEOUT).getOrNull()

    private suspend fun answerOf(
        shard: Int,
        question: OwnerRequest,
        timeout: Duration,
    ): Either<PeerFailure, OwnerResponse> {
        val finder = shards[shard]
        val owner = finder.owner
        if (owner == null) {
            finder.requestRefresh()
            return PeerFailure("no owner known", isPortClosed = true).left()
        }
        return client.send(owner.address, question, timeout)
            .onLeft {
                logger.event(Level.INFO, "owner did not answer", "owner" to owner.instance, "reason" to it)
                finder.requestRefresh()
            }
            .onRight { if (it == OwnerResponse.NotOwner) finder.requestRefresh() }
    }

    private companion object {
        /** Some hundred times the usual answer; callers' requests go to the store after it. */
        val TIMEOUT = 500.milliseconds

        /** The owner's own call to the store has 0.8 s. */
        val WRITE_TIMEOUT = 900.milliseconds
    }
}
