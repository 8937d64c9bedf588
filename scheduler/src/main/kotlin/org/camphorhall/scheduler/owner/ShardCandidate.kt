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
import org.camphorhall.scheduler.support.Clock
import org.camphorhall.scheduler.support.EvacuationState
import org.camphorhall.scheduler.support.OwnerClient
import org.camphorhall.scheduler.support.OwnerFinder
import org.camphorhall.scheduler.support.ShardKeys
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/**
 * Acquires a shard when it has no owner, and runs it while this process owns it. [ownershipStore] and
 * [ownershipDispatcher] are reserved for the ownership, whose calls must not wait for the work of the shard.
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
    /** Watches the evacuations until cancelled; called only if the [settings] say that the platform has them. */
    private val evacuations: suspend (onUpdate: (EvacuationState) -> Unit) -> Unit = {},
) {
    private val ownership by lazy { Ownership(ownershipStore.value, keys, instance, address, clock) }

    /** The running shard; null while this process does not own it. */
    @Volatile
    var owner: ShardOwner? = null
        private set

    /** Until this time, on the steady clock, this process does not try to acquire the shard. */
    private var backoffUntil = 0L

    @Volatile
    private var isStopping = false

    /**
     * Runs until the process stops. The first lookup is made at once: it gives the agent the address to report to, and
     * a restarted owner takes its shard back without waiting for the lease of its former process.
     */
    suspend fun run() {
        var isFirst = true
        while (!isStopping) {
            val isUnowned = finder.isUnowned()
            val mayAcquire = isUnowned && !isFirst || finder.owner?.isAt(instance, address) == true
            if (mayAcquire && clock.steady() >= backoffUntil && ownership.tryAcquire()) {
                finder.update(ShardOwnerRecord(ownership.epoch, instance, address))
                runShard()
            }
            isFirst = false
            val pollMillis = if (finder.owner == null) NO_OWNER_POLL_MILLIS else POLL_MILLIS
            delay((pollMillis + Random.nextLong(JITTER_MILLIS)).milliseconds)
        }
    }

    private suspend fun runShard() {
        logger.event(Level.INFO, "shard acquired", "shard" to keys.owner, "epoch" to ownership.epoch)
        val shard = ShardOwner(ownership, ShardStore(store, keys), settings, clock)
        owner = shard
        try {
            coroutineScope {
                // Renewals start first, because code that the JIT has not compiled can take most of the first lease.
                val renewalJob = launch(ownershipDispatcher.value) { renewOwnership(shard) }
                val configJob = launch { config { shard.send(OwnerEvent.Configured(it)) } }
                val resignationJob = launch { requestResignation() }
                val evacuationJob = launch {
                    if (settings.evacuationMillis != null) evacuations { shard.send(OwnerEvent.Evacuated(it)) }
                }
                shard.run(ownership.predecessorGraceMillis)
                listOf(renewalJob, configJob, resignationJob, evacuationJob).forEach { it.cancel() }
            }
        } finally {
            shard.successor?.let(finder::update)
            owner = null
            shard.close()
            ownership.release()
            logger.event(Level.INFO, "shard released", "shard" to keys.owner)
        }
    }

    /** Asks the predecessor to tell its agents their new owner at once. */
    private suspend fun requestResignation() {
        val predecessor = ownership.predecessor ?: return
        client.requestResignation(predecessor, ShardOwnerRecord(ownership.epoch, instance, address))
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

    /** Resigns if the loop of [shard] lags, so that another agent can acquire it. Returns whether it resigned. */
    private suspend fun resignIfTooSlow(shard: ShardOwner): Boolean {
        val lag = shard.lagMillis()
        if (lag < LAG_LIMIT_MILLIS) return false
        logger.event(Level.WARN, "shard released by slow owner", "epoch" to ownership.epoch, "lagMillis" to lag)
        backoffUntil = clock.steady() + BACKOFF_MILLIS
        shard.close()
        ownership.resign()
        return true
    }

    /** Releases the shard at a planned stop of the process. */
    suspend fun resign() {
        isStopping = true
        val shard = owner ?: return
        shard.close()
        ownership.resign()
    }

    private companion object {
        /** Interval of owner lookups, which also give the agent the address to report to. Each is one cheap read. */
        const val POLL_MILLIS = 500L

        /** Interval of owner lookups while no owner is known, as after a start. */
        const val NO_OWNER_POLL_MILLIS = 200L

        /** Random addition to the interval, so that one candidate acquires a free shard before the others try. */
        const val JITTER_MILLIS = 500L

        /** Four renewals fit into [Ownership.LEASE_MILLIS]. */
        val RENEW_INTERVAL = 500.milliseconds

        /**
         * Worker leases last 3 s, so no task still runs for an owner that lags by more than this. Shorter lags after a
         * start end by themselves, and the next owner would be as slow.
         */
        const val LAG_LIMIT_MILLIS = 5_000L

        /** Long enough for several owner lookups by the other agents. */
        const val BACKOFF_MILLIS = 3_000L
    }
}
