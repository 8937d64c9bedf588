package org.camphorhall.scheduler.owner

import arrow.core.Either
import arrow.core.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import org.camphorhall.platform.store.StoreError
import org.camphorhall.platform.store.StoreTransaction
import org.camphorhall.platform.store.TransactionalStore
import org.camphorhall.process.event
import org.camphorhall.scheduler.protocol.documentJson
import org.camphorhall.scheduler.support.Clock
import org.camphorhall.scheduler.support.ClockReading
import org.camphorhall.scheduler.support.ShardKeys
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** How the attempt to take or keep a shard ended. */
internal enum class OwnershipState { Held, Lost, Unknown }

/**
 * Takes and keeps the ownership of one shard. The owner key is attached to a store lease; the epoch key outlives it.
 * Every write of an owner requires the epoch key's revision, so that an owner that was replaced can write nothing.
 */
internal class Ownership(
    private val store: TransactionalStore,
    private val keys: ShardKeys,
    private val instance: String,
    private val address: String,
    private val clock: Clock,
) {
    private var lease: String? = null
    private var pendingLease: String? = null

    /** Read just before the last call was sent that proved that the epoch is still the newest one. */
    @Volatile
    private var lastVerified: ClockReading? = null

    /** The epoch held; 0 while none is. */
    @Volatile
    var epoch = 0L
        private set

    /** Revision of the epoch key, the condition of every write. */
    var epochRevision = 0L
        private set

    /** The owner before this one, if it was another process. */
    var predecessor: ShardOwnerRecord? = null
        private set

    /** Whether leases of workers may be extended: no other owner can have taken over for longer than the grace. */
    val mayGrantLeases: Boolean
        get() = epoch > 0 &&
            lastVerified?.let { clock.steady() - it.steady < GRACE_MILLIS && !it.maySuspended() } ?: false

    /** Takes the shard if nobody owns it. Returns whether it was taken. */
    suspend fun tryAcquire(): Boolean {
        val isFree = store.get(keys.owner).fold({ false }, { it == null })
        if (!isFree) return false
        val before = store.get(keys.epoch).getOrElse { return false }
        val last = before?.let { e -> decodeOwner(e.value).getOrElse { logCorruptEpoch(it); return false } }
        val reading = ClockReading(clock)
        val id = store.grantLease(LEASE_MILLIS.milliseconds).getOrElse { return false }
        val record = ShardOwnerRecord((last?.epoch ?: 0) + 1, instance, address)
        val value = encode(record)
        val transaction = StoreTransaction(
            conditions = mapOf(keys.owner to 0L, keys.epoch to (before?.version ?: 0L)),
            writes = listOf(StoreTransaction.Write(keys.owner, value, id), StoreTransaction.Write(keys.epoch, value)),
        )
        val revision = store.commit(transaction).getOrElse { e ->
            // The write may have been made. Nobody can use it: the next epoch is taken over this one.
            logger.event(Level.INFO, "shard not taken", "shard" to keys.owner, "reason" to e)
            return false
        }
        lease = id
        lastVerified = reading
        epochRevision = revision
        predecessor = last?.takeIf { it.address != address }
        epoch = record.epoch
        return true
    }

    /**
     * Renews the lease and checks that the owner key is still there: it can be removed while its lease lives on. After
     * [OwnershipState.Unknown] the shard may be held, and nothing can be written.
     */
    suspend fun renew(): OwnershipState {
        val reading = ClockReading(clock)
        val renewal = lease?.let { store.renewLease(it) } ?: Either.Left(StoreError.LeaseExpired)
        if (renewal.leftOrNull() == StoreError.LeaseExpired) return reacquire()
        val entry = store.get(keys.owner).getOrElse { return OwnershipState.Unknown } ?: return reacquire()
        val owner = decodeOwner(entry.value).getOrElse { return OwnershipState.Unknown }
        if (owner.epoch != epoch) return OwnershipState.Lost
        lastVerified = reading
        return OwnershipState.Held
    }

    /** Notes that a write on the condition of the epoch, sent after [reading], was made. */
    fun recordWrite(reading: ClockReading) {
        if ((lastVerified?.steady ?: 0) < reading.steady) lastVerified = reading
    }

    /** Writes the owner key again after it expired, unless another process has taken the shard since. */
    private suspend fun reacquire(): OwnershipState {
        val reading = ClockReading(clock)
        // A lease whose use got no answer is used again, so that the key is never on a lease that is not renewed.
        val id = pendingLease ?: store.grantLease(LEASE_MILLIS.milliseconds).getOrElse { return OwnershipState.Unknown }
        pendingLease = id
        val transaction = StoreTransaction(
            conditions = mapOf(keys.owner to 0L, keys.epoch to epochRevision),
            writes = listOf(StoreTransaction.Write(keys.owner, encode(ShardOwnerRecord(epoch, instance, address)), id)),
        )
        val error = store.commit(transaction).leftOrNull()
        if (error == null || isAlreadyReacquired(error)) {
            lease = id
            pendingLease = null
            lastVerified = reading
            logger.event(Level.INFO, "shard retaken", "shard" to keys.owner, "epoch" to epoch)
            return OwnershipState.Held
        }
        if (error == StoreError.LeaseExpired) pendingLease = null
        return if (error is StoreError.Conflict) OwnershipState.Lost else OwnershipState.Unknown
    }

    /** The owner key is there and the epoch is ours: an earlier call without an answer wrote it. */
    private fun isAlreadyReacquired(error: StoreError): Boolean = error is StoreError.Conflict &&
        error.current.any { it.key == keys.epoch && it.version == epochRevision } &&
        error.current.any { it.key == keys.owner }

    /** Gives the shard up, so that another process can take it at once. */
    suspend fun resign() {
        val id = lease
        release()
        if (id != null) {
            store.revokeLease(id).onLeft { logger.event(Level.INFO, "owner lease not revoked", "reason" to it) }
        }
    }

    /** Forgets the ownership without telling the store. */
    fun release() {
        epoch = 0
        lease = null
        pendingLease = null
        lastVerified = null
    }

    private fun encode(r: ShardOwnerRecord): ByteArray =
        documentJson.encodeToString(ShardOwnerRecord.serializer(), r).encodeToByteArray()

    private fun logCorruptEpoch(e: StoreError) {
        logger.event(Level.ERROR, "epoch record is damaged", "shard" to keys.epoch, "reason" to e)
    }

    internal companion object {
        /** Store lease of an owner: the time until a dead owner is replaced. Four renewals fit into it. */
        const val LEASE_MILLIS = 2_000L

        /** How long after its last renewal an owner extends worker leases: outages of the store of that length pass. */
        const val GRACE_MILLIS = 3_000L
    }
}
