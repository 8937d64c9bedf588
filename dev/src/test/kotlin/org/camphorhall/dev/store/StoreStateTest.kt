package org.camphorhall.dev.store

import org.camphorhall.dev.store.StoreState.WriteResult
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue

/** Guards against two concurrent writers that both succeed, and against leases that outlive their TTL. */
internal class StoreStateTest {
    private val state = StoreState()
    private val value = byteArrayOf(1)

    /** `actual` is the version of the key before the operation, 0 for an absent key. */
    @ParameterizedTest
    @CsvSource(
        "0, 0, true",
        "0, 1, false",
        "1, 1, true",
        "1, 0, false",
        "1, 2, false",
    )
    fun `a write or deletion takes effect only at the expected version`(actual: Long, expected: Long, done: Boolean) {
        for (operation in listOf("put", "delete")) {
            val state = StoreState()
            if (actual > 0) state.put("k", value, 0, null, 0)
            val result = when (operation) {
                "put" -> state.put("k", byteArrayOf(2), expected, null, 0)
                else -> state.delete("k", expected, 0)
            }
            expectThat(result is WriteResult.Applied).describedAs(operation).isEqualTo(done)
            if (!done) {
                expectThat(result).describedAs(operation).isEqualTo(WriteResult.VersionMismatch(actual))
                expectThat(state.get("k", 0)?.version ?: 0).describedAs(operation).isEqualTo(actual)
            }
        }
    }

    @Test
    fun `a version is never reused, even after a deletion`() {
        state.put("k", value, 0, null, 0)
        state.delete("k", 1, 0)
        expectThat(state.put("k", value, 0, null, 0)).isEqualTo(WriteResult.Applied(3))
        expectThat(state.put("k", value, 1, null, 0)).isEqualTo(WriteResult.VersionMismatch(3))
    }

    /** The lease is granted at 0 with a TTL of 100 and renewed at `renewed` unless that is negative. */
    @ParameterizedTest
    @CsvSource(
        "-1, 99, true",
        "-1, 100, false",
        "60, 159, true",
        "60, 160, false",
        "100, 101, false",
    )
    fun `a key is deleted when its lease expires`(renewed: Long, now: Long, alive: Boolean) {
        val lease = state.grant(100, 0)
        state.put("k", value, 0, lease, 0)
        if (renewed >= 0) expectThat(state.renew(lease, renewed)).isEqualTo(renewed < 100)
        expectThat(state.get("k", now) != null).isEqualTo(alive)
        expectThat(state.renew(lease, now)).isEqualTo(alive)
    }

    @Test
    fun `a write with an expired lease has no effect`() {
        val lease = state.grant(100, 0)
        expectThat(state.put("k", value, 0, lease, 100)).isEqualTo(WriteResult.LeaseNotFound)
        expectThat(state.get("k", 100)).isNull()
    }

    @Test
    fun `a key written again without its lease outlives the lease`() {
        val lease = state.grant(100, 0)
        state.put("k", value, 0, lease, 0)
        state.put("k", value, 1, null, 0)
        expectThat(state.revoke(lease, 0)).isTrue()
        expectThat(state.get("k", 200)).isNotNull()
    }

    @Test
    fun `revoking all leases deletes only keys with a lease`() {
        val leases = List(2) { state.grant(100, 0) }
        leases.forEachIndexed { i, lease -> state.put("leased/$i", value, 0, lease, 0) }
        state.put("plain", value, 0, null, 0)
        state.revokeAllLeases(1)
        expectThat(state.list("", 1).items.map { it.key }).containsExactly("plain")
        leases.forEach { expectThat(state.renew(it, 1)).isFalse() }
    }

    @Test
    fun `changes after a revision are complete and limited to the prefix`() {
        val lease = state.grant(100, 0)
        state.put("a/1", value, 0, null, 0)
        state.put("a/2", value, 0, lease, 0)
        val seen = state.put("b/1", value, 0, null, 0) as WriteResult.Applied
        expectThat(state.changes("a/", seen.version, 99).isEmpty).isTrue()

        state.put("a/1", value, 1, null, 99)
        state.put("b/2", value, 0, null, 99)
        val changes = state.changes("a/", seen.version, 100)
        expectThat(changes.items.map { it.key }).containsExactly("a/1")
        expectThat(changes.deleted).containsExactly("a/2")
        expectThat(state.changes("a/", changes.revision, 100).items).isEmpty()
    }

    @Test
    fun `a key that was deleted and written again is reported only as an item`() {
        state.put("k", value, 0, null, 0)
        state.delete("k", 1, 0)
        state.put("k", value, 0, null, 0)
        val changes = state.changes("", 1, 0)
        expectThat(changes.items.map { it.version }).containsExactly(3L)
        expectThat(changes.deleted).isEmpty()
    }
}
