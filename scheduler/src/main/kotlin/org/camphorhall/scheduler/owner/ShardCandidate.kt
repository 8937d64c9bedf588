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
import org.camphorhall.scheduler.protocol.OwnerRequest
import org.camphorhall.scheduler.protocol.OwnerResponse
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
    private var restsUntil = 0L

    @Volatile
    private var isStopping = false

    /** Runs until the process stops. */
    suspend fun run() {
        while (!isStopping) {
            val pause = if (finder.owner == null) FIRST_POLL_MILLIS else POLL_MILLIS
            delay((pause + Random.nextLong(JITTER_MILLIS)).milliseconds)
            if (finder.isUnowned() && clock.steady() >= restsUntil && ownership.tryTake()) {
                finder.update(OwnerRecord(ownership.epoch, instance, address))
                lead()
            }
        }
    }

    private suspend fun lead() {
        logger.event(Level.INFO, "shard taken", "shard" to keys.owner, "epoch" to ownership.epoch)
        val shard = ShardOwner(ownership, ShardStore(store, keys), settings, clock)
        owner = shard
        try {
            coroutineScope {
                // In cold code most of the first lease can be over by now, so that the renewals start first.
                val renewal = launch(ownershipDispatcher.value) { keep(shard) }
                val grace = graceOf(ownership.predecessor)
                val follow = launch { config { shard.send(OwnerEvent.Configured(it)) } }
                shard.run(grace)
                renewal.cancel()
                follow.cancel()
            }
        } finally {
            owner = null
            shard.close()
            ownership.release()
            logger.event(Level.INFO, "shard given up", "shard" to keys.owner)
        }
    }

    /** How long an earlier owner may go on extending leases: not at all once it has resigned or its process is gone. */
    private suspend fun graceOf(predecessor: OwnerRecord?): Long {
        if (predecessor == null || predecessor.address == address) return 0
        val reply = client.send(predecessor.address, OwnerRequest.Resign(ownership.epoch), RESIGN_TIMEOUT)
        val isGone = reply.fold(
            { it.isPortClosed },
            { it == OwnerResponse.Acknowledged || it == OwnerResponse.NotOwner },
        )
        logger.event(Level.INFO, "earlier owner asked to resign", "owner" to predecessor.instance, "gone" to isGone)
        return if (isGone) 0 else Ownership.GRACE_MILLIS
    }

    private suspend fun keep(shard: ShardOwner) {
        while (true) {
            when (ownership.renew()) {
                OwnershipState.Held -> if (isTooSlow(shard)) return
                OwnershipState.Unknown -> logger.event(Level.WARN, "ownership not renewed", "epoch" to ownership.epoch)
                OwnershipState.Lost -> {
                    logger.event(Level.WARN, "ownership lost", "epoch" to ownership.epoch)
                    shard.close()
                    return
                }
            }
            delay(RENEW)
        }
    }

    /** Leaves the shard to an agent on another machine if this one does not come to its decisions. */
    private suspend fun isTooSlow(shard: ShardOwner): Boolean {
        val lag = shard.lagMillis()
        if (lag < LAG_LIMIT_MILLIS) return false
        logger.event(Level.WARN, "shard left to a faster owner", "epoch" to ownership.epoch, "lagMillis" to lag)
        restsUntil = clock.steady() + REST_MILLIS
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
        const val FIRST_POLL_MILLIS = 200L

        /** Spreads the candidates, so that one of them takes a free shard before the others try. */
        const val JITTER_MILLIS = 500L

        /** Four renewals fit into [Ownership.LEASE_MILLIS]. */
        val RENEW = 500.milliseconds
        val RESIGN_TIMEOUT = 400.milliseconds

        /**
         * Leases of workers last 3 s, so that nothing runs on for an owner that is later than this. Shorter delays pass
         * by themselves after a start, when the next owner would be as slow.
         */
        const val LAG_LIMIT_MILLIS = 5_000L

        /** Several polls of the other agents. */
        const val REST_MILLIS = 3_000L
    }
}
