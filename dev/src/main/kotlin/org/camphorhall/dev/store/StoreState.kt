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
    private var lastLeaseNumber = 0L

    /** A key's value and version, and the lease it is attached to. */
    class Entry(val key: String, val version: Long, val value: ByteArray, val lease: String?)

    /** Entries and deleted keys as of [revision]. */
    class Changes(val revision: Long, val items: List<Entry>, val deleted: List<String>) {
        val isEmpty: Boolean get() = items.isEmpty() && deleted.isEmpty()
    }

    /** Result of a write. */
    sealed interface WriteResult {
        data class Applied(val version: Long) : WriteResult

        data class VersionMismatch(val current: Long) : WriteResult

        data object LeaseNotFound : WriteResult
    }

    private class Lease(val ttlNanos: Long, var endNanos: Long)

    fun get(key: String, now: Long): Entry? {
        expireLeases(now)
        return entries[key]
    }

    fun put(key: String, value: ByteArray, expected: Long, lease: String?, now: Long): WriteResult {
        expireLeases(now)
        val current = entries[key]?.version ?: 0
        if (lease != null && lease !in leases) return WriteResult.LeaseNotFound
        if (current != expected) return WriteResult.VersionMismatch(current)
        deletions.remove(key)
        entries[key] = Entry(key, ++revision, value, lease)
        return WriteResult.Applied(revision)
    }

    fun delete(key: String, expected: Long, now: Long): WriteResult {
        expireLeases(now)
        val current = entries[key]?.version ?: 0
        if (current != expected) return WriteResult.VersionMismatch(current)
        if (current != 0L) remove(key)
        return WriteResult.Applied(revision)
    }

    /** Applies [writes] and [deletes] as one change if every key of [expected] has its version (0: absent). */
    fun commit(
        expected: Map<String, Long>,
        writes: List<NewEntry>,
        deletes: List<String>,
        now: Long,
    ): WriteResult {
        expireLeases(now)
        if (writes.any { it.lease != null && it.lease !in leases }) return WriteResult.LeaseNotFound
        val mismatch = expected.entries.firstOrNull { (k, v) -> (entries[k]?.version ?: 0) != v }
        if (mismatch != null) return WriteResult.VersionMismatch(entries[mismatch.key]?.version ?: 0)
        revision++
        for (w in writes) {
            deletions.remove(w.key)
            entries[w.key] = Entry(w.key, revision, w.value, w.lease)
        }
        for (k in deletes) if (entries.remove(k) != null) deletions[k] = revision
        return WriteResult.Applied(revision)
    }

    /** An entry to write. */
    class NewEntry(val key: String, val value: ByteArray, val lease: String?)

    fun list(prefix: String, now: Long): Changes {
        expireLeases(now)
        return Changes(revision, withPrefix(entries, prefix).values.toList(), emptyList())
    }

    /** Returns what changed under [prefix] after revision [after]. */
    fun changes(prefix: String, after: Long, now: Long): Changes {
        expireLeases(now)
        return Changes(
            revision,
            withPrefix(entries, prefix).values.filter { it.version > after },
            withPrefix(deletions, prefix).filterValues { it > after }.keys.toList(),
        )
    }

    fun grant(ttlNanos: Long, now: Long): String {
        val id = "lease-${++lastLeaseNumber}"
        leases[id] = Lease(ttlNanos, now + ttlNanos)
        return id
    }

    /** Renews a lease for its full time; false if it has ended. */
    fun renew(id: String, now: Long): Boolean {
        expireLeases(now)
        val lease = leases[id] ?: return false
        lease.endNanos = now + lease.ttlNanos
        return true
    }

    /** Ends a lease and deletes its keys; false if it has ended already. */
    fun revoke(id: String, now: Long): Boolean {
        expireLeases(now)
        if (leases.remove(id) == null) return false
        entries.values.filter { it.lease == id }.forEach { remove(it.key) }
        return true
    }

    /** Ends all leases. */
    fun revokeAllLeases(now: Long) = leases.keys.toList().forEach { revoke(it, now) }

    /** Ends the leases whose time has passed. */
    fun expireLeases(now: Long) {
        val ended = leases.filterValues { it.endNanos - now <= 0 }.keys.toSet()
        if (ended.isEmpty()) return
        leases -= ended
        entries.values.filter { it.lease in ended }.forEach { remove(it.key) }
    }

    private fun remove(key: String) {
        entries.remove(key)
        deletions[key] = ++revision
    }

    private fun <T> withPrefix(map: TreeMap<String, T>, prefix: String): Map<String, T> =
        map.tailMap(prefix).asSequence().takeWhile { it.key.startsWith(prefix) }.associate { it.key to it.value }
}
