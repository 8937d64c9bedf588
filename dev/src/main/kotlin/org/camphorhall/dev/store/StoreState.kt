package org.camphorhall.dev.store

import java.util.TreeMap

/**
 * State of the key-value service. Times are in nanoseconds of a monotonic clock. Not safe for concurrent use.
 *
 * Every write, deletion and transaction increments [revision] once. The version of a key is the revision of its last
 * write.
 */
internal class StoreState {
    var revision: Long = 0
        private set
    private val entries = TreeMap<String, Entry>()
    private val deletions = TreeMap<String, Long>()
    private val leases = HashMap<String, Lease>()
    private var lastLeaseNumber = 0L

    /** Value and version of a key; [lease] is the id of the lease that the key is attached to, or null. */
    class Entry(val key: String, val version: Long, val value: ByteArray, val lease: String?)

    /** Current entries and deleted keys as of [revision]. */
    class Changes(val revision: Long, val items: List<Entry>, val deleted: List<String>) {
        val isEmpty: Boolean get() = items.isEmpty() && deleted.isEmpty()
    }

    /** Result of a write or a deletion; only [Applied] has an effect. */
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

    /** Applies [writes] and [deletes] atomically if every key in [expected] has that version (0: key is absent). */
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
        for (write in writes) {
            deletions.remove(write.key)
            entries[write.key] = Entry(write.key, revision, write.value, write.lease)
        }
        for (k in deletes) if (entries.remove(k) != null) deletions[k] = revision
        return WriteResult.Applied(revision)
    }

    /** An entry to write, attached to [lease] unless that is null. */
    class NewEntry(val key: String, val value: ByteArray, val lease: String?)

    fun list(prefix: String, now: Long): Changes {
        expireLeases(now)
        return Changes(revision, withPrefix(entries, prefix).values.toList(), emptyList())
    }

    /** Returns entries and deletions with prefix [prefix] whose last change is after revision [after]. */
    fun changes(prefix: String, after: Long, now: Long): Changes {
        expireLeases(now)
        return Changes(
            revision,
            withPrefix(entries, prefix).values.filter { it.version > after },
            withPrefix(deletions, prefix).filterValues { it > after }.keys.toList(),
        )
    }

    /** Grants a lease that expires [ttlNanos] after [now] unless renewed, and returns its id. */
    fun grant(ttlNanos: Long, now: Long): String {
        val id = "lease-${++lastLeaseNumber}"
        leases[id] = Lease(ttlNanos, now + ttlNanos)
        return id
    }

    /** Extends a lease by its full TTL from [now]. Returns false if it has expired or was revoked. */
    fun renew(id: String, now: Long): Boolean {
        expireLeases(now)
        val lease = leases[id] ?: return false
        lease.endNanos = now + lease.ttlNanos
        return true
    }

    /** Ends a lease and deletes its keys. Returns false if it has already expired or was revoked. */
    fun revoke(id: String, now: Long): Boolean {
        expireLeases(now)
        if (leases.remove(id) == null) return false
        entries.values.filter { it.lease == id }.forEach { remove(it.key) }
        return true
    }

    /** Ends all leases and deletes their keys. */
    fun revokeAllLeases(now: Long) = leases.keys.toList().forEach { revoke(it, now) }

    /** Ends the leases that have expired at [now] and deletes their keys. */
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
