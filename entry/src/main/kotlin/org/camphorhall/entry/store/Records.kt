package org.camphorhall.entry.store

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.camphorhall.core.account.CountEntry
import org.camphorhall.core.config.ConfigItem
import org.camphorhall.core.shard.KeyRecord
import org.camphorhall.core.shard.SingleStepJobRecord
import org.camphorhall.platform.json.DocumentDecoder

/** Format of all records in the store. */
internal val recordJson: Json = Json { ignoreUnknownKeys = true }

/** Decodes records in the store, which another writer may have changed. */
internal val recordDecoder: DocumentDecoder = DocumentDecoder(recordJson)

/** A live entry; the store deletes the record with the lease of the entry. */
@Serializable
internal data class EntryRecord(
    val id: String,
    val address: String,
    val httpAddress: String,
    val failureDomain: String,
)

/** The owner of a shard. [nonce] distinguishes two acquisitions by the same entry. */
@Serializable
internal data class OwnerRecord(val entry: String, val address: String, val nonce: Long)

/** The configuration document. [token] identifies its last write. */
@Serializable
internal data class ConfigRecord(
    val version: Long,
    val token: String,
    val items: List<ConfigItem>,
    val floor: Long = 0,
)

/** The jobs of a shard and the counts of their outcomes. */
@Serializable
internal data class StoredJobPage(
    val epoch: Long,
    val token: String,
    val jobs: List<SingleStepJobRecord>,
    val counts: List<CountEntry>,
)

/** The idempotency keys of a shard. */
@Serializable
internal data class StoredKeyPage(val epoch: Long, val token: String, val keys: List<KeyRecord>)

/**
 * Request counts of one entry. When the entry terminated without setting [closed], counts after [flushedMillis] are
 * missing.
 */
@Serializable
internal data class AccountPage(
    val entry: String,
    val startedMillis: Long,
    val flushedMillis: Long,
    val closed: Boolean,
    val counts: List<CountEntry>,
)

/** Keys of the records in the store. */
internal object StoreKeys {
    /** Common prefix of all records that entries watch, so that one long-polling call per entry is enough. */
    const val META = "meta/"
    const val CONFIG = "meta/config"
    const val ENTRIES = "meta/entries/"
    const val OWNERS = "meta/owners/"
    const val ACCOUNTS = "accounts/"
    const val SHARDS = "shards/"

    fun entry(id: String): String = ENTRIES + id

    fun owner(shard: Int): String = OWNERS + shard

    fun jobs(shard: Int): String = "$SHARDS$shard/jobs"

    fun keys(shard: Int): String = "$SHARDS$shard/keys"

    fun account(entry: String): String = ACCOUNTS + entry
}
