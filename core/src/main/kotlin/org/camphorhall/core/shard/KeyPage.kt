package org.camphorhall.core.shard

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** Content of the idempotency key page of a shard. */
public data class KeyPage(val keys: PersistentMap<String, KeyRecord> = persistentMapOf())
