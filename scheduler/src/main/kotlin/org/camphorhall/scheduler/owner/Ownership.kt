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

/** Result of renewing the ownership of a shard. */
internal enum class OwnershipState { Held, Lost, Unknown }

/**
 * Acquires and renews the ownership of one shard. The owner key is attached to a store lease; the epoch key outlives
 * it. Every write of an owner is conditional on the revision of the epoch key, so that a replaced owner cannot write.
 */
internal class Ownership(
    private val store: TransactionalStore,
    private val keys: ShardKeys,
    private val instance: String,
    private val address: String,
    private val clock: Clock,
) {
    private var lease: String? = null

    /** Lease of a reacquisition whose outcome is not known yet. */
    private var pendingLease: String? = null

    /** Clock reading from just before the last call that proved that the epoch is still the newest one. */
    @Volatile
    private var lastVerified: ClockReading? = null

    /** Epoch of the ownership; 0 while this process does not own the shard. */
    @Volatile
    var epoch = 0L
        private set

    /** Revision of the epoch key, on which every write is conditional. */
    var epochRevision = 0L
        private set

    /** The previous owner; null if there was none or it was this process. */
    var predecessor: ShardOwnerRecord? = null
        private set

    /**
     * How long earlier owners may still extend worker leases. Each of them proved its epoch before the present one
     * began, also one that was replaced by an owner that has resigned since, or by an earlier process of this instance.
     */
    var predecessorGraceMillis = 0L
        private set

    /** Whether worker leases may be extended: no other owner can have taken over more than [GRACE_MILLIS] ago. */
    val mayGrantLeases: Boolean
        get() = epoch > 0 &&
            lastVerified?.let { clock.steady() - it.steady < GRACE_MILLIS && !it.mayHaveBeenSuspended() } ?: false

    /**
     * Acquires the shard if it has no owner, or if its owner was an earlier process at this address, which has ended
     * since this one listens there. Returns whether it was acquired.
     */
    suspend fun tryAcquire(): Boolean {
        val ownerVersion = replaceableVersion() ?: return false
        val before = store.get(keys.epoch).getOrElse { return false }
        val last = before?.let { e -> decodeOwner(e.value).getOrElse { logCorruptEpoch(it); return false } }
        val reading = ClockReading(clock)
        val id = store.grantLease(LEASE_MILLIS.milliseconds).getOrElse { return false }
        val record = ShardOwnerRecord((last?.epoch ?: 0) + 1, instance, address)
        val value = encode(record)
        val transaction = StoreTransaction(
            conditions = mapOf(keys.owner to ownerVersion, keys.epoch to (before?.version ?: 0L)),
            writes = listOf(StoreTransaction.Write(keys.owner, value, id), StoreTransaction.Write(keys.epoch, value)),
        )
        val revision = store.commit(transaction).getOrElse { e ->
            // The write may have been committed. No process can use it, because the next owner starts a newer epoch.
            logger.event(Level.INFO, "shard not acquired", "shard" to keys.owner, "reason" to e)
            return false
        }
        lease = id
        lastVerified = reading
        epochRevision = revision
        predecessor = last?.takeIf { it.address != address }
        predecessorGraceMillis = if (last == null) 0 else GRACE_MILLIS
        epoch = record.epoch
        return true
    }

    /** Version of the owner key, 0 if it is absent; null if it names another process or cannot be read. */
    private suspend fun replaceableVersion(): Long? = store.get(keys.owner).fold(
        { null },
        { entry ->
            when {
                entry == null -> 0L
                decodeOwner(entry.value).fold({ false }, { it.isAt(instance, address) }) -> entry.version
                else -> null
            }
        },
    )

    /**
     * Renews the lease and checks that the owner key still exists, since it can be removed while its lease is valid.
     * After [OwnershipState.Unknown] this process may still own the shard, and nothing can be written.
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

    /** Records that a write that is conditional on the epoch and was sent after [reading] has been committed. */
    fun recordWrite(reading: ClockReading) {
        if ((lastVerified?.steady ?: 0) < reading.steady) lastVerified = reading
    }

    /** Writes the owner key again after it expired, unless another process has acquired the shard since. */
    private suspend fun reacquire(): OwnershipState {
        val reading = ClockReading(clock)
        // Reuses a lease whose write got no response, so that the key is never attached to a lease that is not renewed.
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
            logger.event(Level.INFO, "shard reacquired", "shard" to keys.owner, "epoch" to epoch)
            return OwnershipState.Held
        }
        if (error == StoreError.LeaseExpired) pendingLease = null
        return if (error is StoreError.Conflict) OwnershipState.Lost else OwnershipState.Unknown
    }

    /** Whether the conflict shows that an earlier call without a response has written the owner key for this epoch. */
    private fun isAlreadyReacquired(error: StoreError): Boolean = error is StoreError.Conflict &&
        error.current.any { it.key == keys.epoch && it.version == epochRevision } &&
        error.current.any { it.key == keys.owner }

    /** Releases the shard and revokes its lease, so that another process can acquire the shard at once. */
    suspend fun resign() {
        val id = lease
        release()
        if (id != null) {
            store.revokeLease(id).onLeft { logger.event(Level.INFO, "owner lease not revoked", "reason" to it) }
        }
    }

    /** Clears the ownership in this process, without a call to the store. */
    fun release() {
        epoch = 0
        lease = null
        pendingLease = null
        lastVerified = null
    }

    private fun encode(r: ShardOwnerRecord): ByteArray =
        documentJson.encodeToString(ShardOwnerRecord.serializer(), r).encodeToByteArray()

    private fun logCorruptEpoch(e: StoreError) {
        logger.event(
            Level.ERROR,
            "epoch record cannot be decoded; shard not acquired",
            "shard" to keys.epoch,
            "reason" to e,
        )
    }

    internal companion object {
        /** Store lease of an owner, after which a failed owner is replaced. Four renewals fit into it. */
        const val LEASE_MILLIS = 2_000L

        /** How long an owner extends worker leases after its last renewal, to bridge store outages of that length. */
        const val GRACE_MILLIS = 3_000L
    }
}
