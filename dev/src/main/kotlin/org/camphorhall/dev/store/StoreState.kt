package org.camphorhall.dev.store

import java.util.TreeMap

/**
 * State of the key-value service. Times are in nanoseconds of a monotonic clock. Not safe for concurrent use.
 *
 * Every write and every deletion takes the next revision, which is also the version of a written key.
 */
internal class StoreState {
    var revision: Long = 0
        private set
    private val entries = TreeMap<String, Entry>()
    private val deletions = TreeMap<String, Long>()
    private val leases = HashMap<String, Lease>()
    private var granted = 0L

    /** A key's value and version, and the lease it is attached to. */
    class Entry(val key: String, val version: Long, val value: ByteArray, val lease: String?)

    /** Entries and deleted keys as of [revision]. */
    class Changes(val revision: Long, val items: List<Entry>, val deleted: List<String>) {
        val isEmpty: Boolean get() = items.isEmpty() && deleted.isEmpty()
    }

    /** Result of a write. */
    sealed interface Write {
        data class Done(val version: Long) : Write

        data class Mismatch(val current: Long) : Write

        data object NoLease : Write
    }

    private class Lease(val ttlNanos: Long, var endNanos: Long)

    fun get(key: String, now: Long): Entry? {
        expire(now)
        return entries[key]
    }

    fun put(key: String, value: ByteArray, expected: Long, lease: String?, now: Long): Write {
        expire(now)
        val current = entries[key]?.version ?: 0
        if (lease != null && lease !in leases) return Write.NoLease
        if (current != expected) return Write.Mismatch(current)
        deletions.remove(key)
        entries[key] = Entry(key, ++revision, value, lease)
        return Write.Done(revision)
    }

    fun delete(key: String, expected: Long, now: Long): Write {
        expire(now)
        val current = entries[key]?.version ?: 0
        if (current != expected) return Write.Mismatch(current)
        if (current != 0L) remove(key)
        return Write.Done(revision)
    }

    /** Applies [writes] and [deletes] as one change if every key of [expected] has its version (0: absent). */
    fun commit(
        expected: Map<String, Long>,
        writes: List<NewEntry>,
        deletes: List<String>,
        now: Long,
    ): Write {
        expire(now)
        if (writes.any { it.lease != null && it.lease !in leases }) return Write.NoLease
        val mismatch = expected.entries.firstOrNull { (k, v) -> (entries[k]?.version ?: 0) != v }
        if (mismatch != null) return Write.Mismatch(entries[mismatch.key]?.version ?: 0)
        revision++
        for (w in writes) {
            deletions.remove(w.key)
            entries[w.key] = Entry(w.key, revision, w.value, w.lease)
        }
        for (k in deletes) if (entries.remove(k) != null) deletions[k] = revision
        return Write.Done(revision)
    }

    /** An entry to write. */
    class NewEntry(val key: String, val value: ByteArray, val lease: String?)

    fun list(prefix: String, now: Long): Changes {
        expire(now)
        return Changes(revision, under(entries, prefix).values.toList(), emptyList())
    }

    /** Returns what changed under [prefix] after revision [after]. */
    fun changes(prefix: String, after: Long, now: Long): Changes {
        expire(now)
        return Changes(
            revision,
            under(entries, prefix).values.filter { it.version > after },
            under(deletions, prefix).filterValues { it > after }.keys.toList(),
        )
    }

    fun grant(ttlNanos: Long, now: Long): String {
        val id = "lease-${++granted}"
        leases[id] = Lease(ttlNanos, now + ttlNanos)
        return id
    }

    /** Renews a lease for its full time; false if it has ended. */
    fun renew(id: String, now: Long): Boolean {
        expire(now)
        val lease = leases[id] ?: return false
        lease.endNanos = now + lease.ttlNanos
        return true
    }

    /** Ends a lease and deletes its keys; false if it has ended already. */
    fun revoke(id: String, now: Long): Boolean {
        expire(now)
        if (leases.remove(id) == null) return false
        entries.values.filter { it.lease == id }.forEach { remove(it.key) }
        return true
    }

    /** Ends all leases. */
    fun lapse(now: Long) = leases.keys.toList().forEach { revoke(it, now) }

    /** Ends the leases whose time has passed. */
    fun expire(now: Long) {
        val ended = leases.filterValues { it.endNanos - now <= 0 }.keys.toSet()
        if (ended.isEmpty()) return
        leases -= ended
        entries.values.filter { it.lease in ended }.forEach { remove(it.key) }
    }

    private fun remove(key: String) {
        entries.remove(key)
        deletions[key] = ++revision
    }

    private fun <T> under(map: TreeMap<String, T>, prefix: String): Map<String, T> =
        map.tailMap(prefix).asSequence().takeWhile { it.key.startsWith(prefix) }.associate { it.key to it.value }
}
