package org.camphorhall.entry.shard

import arrow.core.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.entry.store.ClusterState
import org.camphorhall.entry.store.EntryRecord
import org.camphorhall.entry.store.OwnerRecord
import org.camphorhall.entry.store.StoreKeys
import org.camphorhall.entry.store.recordDecoder
import org.camphorhall.entry.store.recordJson
import org.camphorhall.platform.store.KeyValueStore
import org.camphorhall.platform.store.StoreError
import java.util.concurrent.ConcurrentHashMap
import java.util.zip.CRC32
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/**
 * The shards that this entry owns. Rendezvous hashing selects the preferred owner of each shard. The entry acquires
 * free shards for which it is preferred, and releases shards for which an entry that joined is preferred.
 */
internal class ShardSet(
    private val count: Int,
    private val self: EntryRecord,
    private val store: KeyValueStore,
    private val cluster: () -> ClusterState,
    private val lease: () -> String?,
    private val clock: () -> MonotonicInstant,
    private val newHost: (ShardClaim) -> ShardHost,
    private val scope: CoroutineScope,
) {
    private val hosts = ConcurrentHashMap<Int, ShardHost>()

    /** Epochs of released shards whose owner records are still in the store. */
    private val undeletedRecords = ConcurrentHashMap<Int, Long>()

    @Volatile
    private var stopping = false

    /** Returns the host of [shard]; null if this entry does not own it. */
    fun host(shard: Int): ShardHost? = hosts[shard]?.takeIf { !it.closed }

    /** Hosts of all shards that this entry owns. */
    fun all(): List<ShardHost> = hosts.values.filter { !it.closed }

    suspend fun run() {
        var rounds = 0
        while (true) {
            closeSuperseded()
            hosts.values.filter { it.closed }.forEach { hosts.remove(it.shard, it) }
            recordUnansweredClaims()
            undeletedRecords.forEach { (shard, epoch) -> deleteRecord(shard, epoch) }
            acquireFreeShards()
            // Shards move one at a time, so that a joining entry does not interrupt all work at once.
            if (++rounds % REBALANCE_EVERY_ROUNDS == 0) rebalanceOne()
            delay(POLL_INTERVAL)
        }
    }

    /** Closes shards that were acquired with an earlier store lease, or that have a later owner. */
    private fun closeSuperseded() {
        val current = lease()
        val owners = cluster().owners
        for (host in hosts.values) {
            if (host.lease == current && (owners[host.shard]?.epoch ?: 0) <= host.epoch) continue
            if (!host.closed) logger.warn { "shard ${host.shard} is no longer owned with epoch ${host.epoch}" }
            host.close()
        }
    }

    /** Marks owner records of this entry without a host: their claims took effect after they had been given up. */
    private fun recordUnansweredClaims() {
        if (stopping) return
        for ((shard, owner) in cluster().owners) {
            if (owner.record.entry == self.id && !hosts.containsKey(shard)) undeletedRecords[shard] = owner.epoch
        }
    }

    private suspend fun acquireFreeShards() {
        val leaseId = lease()?.takeIf { !stopping } ?: return
        val state = cluster()
        if (self.id !in state.entries) return
        for (shard in 0 until count) {
            val owner = state.owners[shard]
            if (owner != null || hosts.containsKey(shard) || preferredOwner(shard, state) != self.id) continue
            acquire(shard, leaseId)
        }
    }

    private suspend fun acquire(shard: Int, lease: String) {
        val record = OwnerRecord(self.id, self.address, Random.nextLong())
        val body = recordJson.encodeToString(OwnerRecord.serializer(), record).encodeToByteArray()
        val sentAt = clock()
        val epoch = store.put(StoreKeys.owner(shard), body, 0, lease).getOrElse { e ->
            if (e !is StoreError.Uncertain) return
            confirmedEpoch(shard, record) ?: return
        }
        val host = newHost(ShardClaim(shard, epoch, lease, sentAt))
        hosts[shard] = host
        scope.launch { host.run(scope) }
        logger.info { "acquired shard $shard with epoch $epoch" }
    }

    /** Returns the epoch if the write of [record] took effect although its response was lost, else null. */
    private suspend fun confirmedEpoch(shard: Int, record: OwnerRecord): Long? {
        val e = store.get(StoreKeys.owner(shard)).getOrNull() ?: return null
        val stored = recordDecoder.decode(OwnerRecord.serializer(), e.value).getOrNull()
        return e.version.takeIf { stored == record }
    }

    private suspend fun rebalanceOne() {
        val state = cluster()
        if (state.entries.size < 2) return
        val misplaced = all().firstOrNull { it.acceptsRequests && preferredOwner(it.shard, state) != self.id } ?: return
        release(misplaced)
    }

    private suspend fun release(host: ShardHost) {
        host.drain()
        // During a store outage no other entry can acquire the shard, and its tasks would lose their leases.
        val storeReachable = store.get(StoreKeys.owner(host.shard)).onLeft { e ->
            logger.warn { "keeping shard ${host.shard}; the store cannot record a new owner: $e" }
        }.isRight()
        if (!storeReachable) return host.resume()
        host.close()
        hosts.remove(host.shard, host)
        undeletedRecords[host.shard] = host.epoch
        deleteRecord(host.shard, host.epoch)
    }

    /** Deletes the owner record of a released shard, so that another entry can acquire it. */
    private suspend fun deleteRecord(shard: Int, epoch: Long) {
        val error = store.delete(StoreKeys.owner(shard), epoch).leftOrNull()
        if (error == null || error is StoreError.VersionMismatch) {
            undeletedRecords.remove(shard, epoch)
        } else {
            logger.warn { "could not delete the owner record of shard $shard; retrying: $error" }
        }
    }

    /** Stops acting for all shards, because the store lease has expired. */
    fun closeAll() {
        hosts.values.forEach { it.close() }
        hosts.clear()
        // The store deleted the owner records with the lease.
        undeletedRecords.clear()
    }

    /** Closes all shards after their pending requests, and acquires no others. */
    suspend fun drainAndCloseAll() {
        stopping = true
        coroutineScope { hosts.values.forEach { launch { it.drainAndClose() } } }
        hosts.clear()
    }

    /** Extends the grace of the shards whose owner records are attached to the current store lease. */
    fun onStoreLeaseRenewed(sentAt: MonotonicInstant) {
        val current = lease()
        hosts.values.filter { it.lease == current }.forEach { it.onStoreLeaseRenewed(sentAt) }
    }

    private fun preferredOwner(shard: Int, state: ClusterState): String? =
        state.entries.keys.maxByOrNull { rendezvousWeight(shard, it) }

    private fun rendezvousWeight(shard: Int, entry: String): Long {
        val crc = CRC32()
        crc.update("$shard/$entry".encodeToByteArray())
        return crc.value
    }

    private companion object {
        val POLL_INTERVAL = 200.milliseconds

        /** Rounds of [POLL_INTERVAL] between two releases of a shard. */
        const val REBALANCE_EVERY_ROUNDS = 10
    }
}
