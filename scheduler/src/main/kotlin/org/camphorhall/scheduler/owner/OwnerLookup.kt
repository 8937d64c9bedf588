package org.camphorhall.scheduler.owner

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import org.camphorhall.platform.store.StoreError
import org.camphorhall.platform.store.TransactionalStore
import org.camphorhall.scheduler.protocol.documentDecoder
import org.camphorhall.scheduler.support.ShardKeys

/** Decodes a [ShardOwnerRecord]. A malformed record is an error and does not count as an absent owner. */
internal fun decodeOwner(value: ByteArray): Either<StoreError, ShardOwnerRecord> =
    documentDecoder.decode(ShardOwnerRecord.serializer(), value)
        .flatMap { if (it.isEpochValid) it.right() else "epoch ${it.epoch} is out of range".left() }
        .mapLeft { StoreError.Uncertain("owner record not understood: $it") }

/** Reads the owner record of a shard, which may be seconds out of date. Null if the shard has no owner. */
internal suspend fun findOwner(store: TransactionalStore, keys: ShardKeys): Either<StoreError, ShardOwnerRecord?> =
    store.getStale(keys.owner).flatMap { e -> if (e == null) Either.Right(null) else decodeOwner(e.value) }
