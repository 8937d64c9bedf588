package org.camphorhall.core.shard

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** Content of a shard's key page. */
public data class KeyPage(val keys: PersistentMap<String, KeyRecord> = persistentMapOf())
