package org.camphorhall.core.account

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.camphorhall.core.model.ClassName

/** Event counters per class, outcome and reason. */
@JvmInline
public value class Counts(public val values: PersistentMap<CountKey, Long> = persistentMapOf()) {
    /** Adds one event. */
    public fun add(className: ClassName, outcome: String, reason: String = ""): Counts =
        add(CountKey(className, outcome, reason), 1)

    /** Adds [n] to the counter of [key]. */
    public fun add(key: CountKey, n: Long): Counts = Counts(values.put(key, (values[key] ?: 0) + n))

    /** Adds all counters of [other]. */
    public operator fun plus(other: Counts): Counts =
        other.values.entries.fold(this) { sum, (key, n) -> sum.add(key, n) }

    /** Returns the counters sorted by class, outcome and reason. */
    public fun entries(): List<CountEntry> = values.map { CountEntry(it.key, it.value) }
        .sortedWith(compareBy({ it.key.className.value }, { it.key.outcome }, { it.key.reason }))

    public companion object {
        /** Builds the counters from [entries]. */
        public fun of(entries: List<CountEntry>): Counts =
            Counts(entries.associate { it.key to it.count }.toPersistentMap())
    }
}
