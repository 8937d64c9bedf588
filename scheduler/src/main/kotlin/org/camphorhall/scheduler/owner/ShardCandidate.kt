package org.camphorhall.scheduler.owner

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.camphorhall.core.jobs.JobShardSettings
import org.camphorhall.platform.operator.OperatorConfig
import org.camphorhall.platform.store.TransactionalStore
import org.camphorhall.process.event
import org.camphorhall.scheduler.protocol.Question
import org.camphorhall.scheduler.protocol.Reply
import org.camphorhall.scheduler.support.Clock
import org.camphorhall.scheduler.support.OwnerClient
import org.camphorhall.scheduler.support.OwnerFinder
import org.camphorhall.scheduler.support.ShardKeys
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/**
 * Takes a shard when it has no owner, and runs it while it is held. The ownership is taken and kept on
 * [ownershipDispatcher] with [ownershipStore], whose calls must not wait for the work of the shard.
 */
internal class ShardCandidate(
    private val store: TransactionalStore,
    private val ownershipStore: Lazy<TransactionalStore>,
    private val ownershipDispatcher: Lazy<CoroutineDispatcher>,
    private val keys: ShardKeys,
    private val instance: String,
    private val address: String,
    private val clock: Clock,
    private val client: OwnerClient,
    private val finder: OwnerFinder,
    private val config: suspend (onChange: (OperatorConfig) -> Unit) -> Unit,
    private val settings: JobShardSettings = JobShardSettings(),
) {
    private val ownership by lazy { Ownership(ownershipStore.value, keys, instance, address, clock) }

    /** The running shard; null while another process owns it. */
    @Volatile
    var owner: ShardOwner? = null
        private set

    /** Until then the shard is left to others, on the steady clock. */
    private var backoffUntil = 0L

    @Volatile
    private var isStopping = false

    /** Runs until the process stops. */
    suspend fun run() {
        while (!isStopping) {
            val pollMillis = if (finder.owner == null) NO_OWNER_POLL_MILLIS else POLL_MILLIS
            delay((pollMillis + Random.nextLong(JITTER_MILLIS)).milliseconds)
            if (finder.isFree() && clock.steady() >= backoffUntil && ownership.tryAcquire()) {
                finder.take(ShardOwnerRecord(ownership.epoch, instance, address))
                runShard()
            }
        }
    }

    private suspend fun runShard() {
        logger.event(Level.INFO, "shard taken", "shard" to keys.owner, "epoch" to ownership.epoch)
        val shard = ShardOwner(ownership, ShardStore(store, keys), settings, clock)
        owner = shard
        try {
            coroutineScope {
                // In cold code most of the first lease can be over by now, so that the renewals start first.
                val renewalJob = launch(ownershipDispatcher.value) { renewOwnership(shard) }
                val graceMillis = graceMillisAfter(ownership.predecessor)
                val configJob = launch { config { shard.send(OwnerEvent.Configured(it)) } }
                shard.run(graceMillis)
                renewalJob.cancel()
                configJob.cancel()
            }
        } finally {
            owner = null
            shard.close()
            ownership.release()
            logger.event(Level.INFO, "shard given up", "shard" to keys.owner)
        }
    }

    /** How long an earlier owner may go on extending leases: not at all once it has resigned or its process is gone. */
    private suspend fun graceMillisAfter(predecessor: ShardOwnerRecord?): Long {
        if (predecessor == null || predecessor.address == address) return 0
        val response = client.askAt(predecessor.address, Question.Resign(ownership.epoch), RESIGN_TIMEOUT)
        val isTerminated = response.fold({ it.isPortClosed }, { it == Reply.Noted || it == Reply.NotOwner })
        logger.event(
            Level.INFO,
            "earlier owner asked to resign",
            "owner" to predecessor.instance,
            "gone" to isTerminated,
        )
        return if (isTerminated) 0 else Ownership.GRACE_MILLIS
    }

    private suspend fun renewOwnership(shard: ShardOwner) {
        while (true) {
            when (ownership.renew()) {
                OwnershipState.Held -> if (resignIfTooSlow(shard)) return
                OwnershipState.Unknown -> logger.event(Level.WARN, "ownership not renewed", "epoch" to ownership.epoch)
                OwnershipState.Lost -> {
                    logger.event(Level.WARN, "ownership lost", "epoch" to ownership.epoch)
                    shard.close()
                    return
                }
            }
            delay(RENEW_INTERVAL)
        }
    }

    /** Leaves the shard to an agent on another machine if this one does not come to its decisions. */
    private suspend fun resignIfTooSlow(shard: ShardOwner): Boolean {
        val lag = shard.lagMillis()
        if (lag < LAG_LIMIT_MILLIS) return false
        logger.event(Level.WARN, "shard left to a faster owner", "epoch" to ownership.epoch, "lagMillis" to lag)
        backoffUntil = clock.steady() + BACKOFF_MILLIS
        shard.close()
        ownership.resign()
        return true
    }

    /** Gives the shard up at a planned stop. */
    suspend fun resign() {
        isStopping = true
        val shard = owner ?: return
        shard.close()
        ownership.resign()
    }

    private companion object {
        /** Between two looks for an owner, which also tell the agent where to report; each is one cheap read. */
        const val POLL_MILLIS = 500L

        /** The same while no owner is known, as after a start. */
        const val NO_OWNER_POLL_MILLIS = 200L

        /** Spreads the candidates, so that one of them takes a free shard before the others try. */
        const val JITTER_MILLIS = 500L

        /** Four renewals fit into [Ownership.LEASE_MILLIS]. */
        val RENEW_INTERVAL = 500.milliseconds
        val RESIGN_TIMEOUT = 400.milliseconds

        /**
         * Leases of workers last 3 s, so that nothing runs on for an owner that is later than this. Shorter delays pass
         * by themselves after a start, when the next owner would be as slow.
         */
        const val LAG_LIMIT_MILLIS = 5_000L

        /** Several polls of the other agents. */
        const val BACKOFF_MILLIS = 3_000L
    }
}
