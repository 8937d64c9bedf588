package org.camphorhall.entry.store

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.camphorhall.core.account.CountEntry
import org.camphorhall.core.config.ConfigItem
import org.camphorhall.core.shard.KeyRecord
import org.camphorhall.core.shard.SingleStepJobRecord

/** Format of all records in the store. */
internal val recordJson: Json = Json { ignoreUnknownKeys = true }

/** A live entry. */
@Serializable
internal data class EntryRecord(
    val id: String,
    val address: String,
    val httpAddress: String,
    val failureDomain: String,
)

/** The owner of a shard. [nonce] tells two claims of one entry apart. */
@Serializable
internal data class OwnerRecord(val entry: String, val address: String, val nonce: Long)

/** The configuration document. [token] names its last writer. */
@Serializable
internal data class ConfigRecord(
    val version: Long,
    val token: String,
    val items: List<ConfigItem>,
    val floor: Long = 0,
)

/** A page of jobs. */
@Serializable
internal data class StoredJobPage(
    val epoch: Long,
    val token: String,
    val jobs: List<SingleStepJobRecord>,
    val counts: List<CountEntry>,
)

/** A page of idempotency keys. */
@Serializable
internal data class StoredKeyPage(val epoch: Long, val token: String, val keys: List<KeyRecord>)

/** Counts of one entry. A page that is not [closed] and whose entry is gone misses what came after [flushedMillis]. */
@Serializable
internal data class AccountPage(
    val entry: String,
    val startedMillis: Long,
    val flushedMillis: Long,
    val closed: Boolean,
    val counts: List<CountEntry>,
)

/** Keys in the store. */
internal object StoreKeys {
    /** Prefix of everything that entries watch, so that one waiting call per entry is enough. */
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
