package org.camphorhall.core.agent

import kotlinx.collections.immutable.PersistentMap

/** Returns the map without the entries whose value fails [keep]. */
internal fun <K, V> PersistentMap<K, V>.retainValues(keep: (V) -> Boolean): PersistentMap<K, V> {
    val gone = entries.filterNot { keep(it.value) }.map { it.key }
    if (gone.isEmpty()) return this
    val b = builder()
    gone.forEach { b.remove(it) }
    return b.build()
}
