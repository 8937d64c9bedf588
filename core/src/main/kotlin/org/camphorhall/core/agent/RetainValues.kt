package org.camphorhall.core.agent

import kotlinx.collections.immutable.PersistentMap

/** Returns the map with only the entries whose value satisfies [keep]. */
internal fun <K, V> PersistentMap<K, V>.retainValues(keep: (V) -> Boolean): PersistentMap<K, V> {
    val removed = entries.filterNot { keep(it.value) }.map { it.key }
    if (removed.isEmpty()) return this
    val b = builder()
    removed.forEach { b.remove(it) }
    return b.build()
}
