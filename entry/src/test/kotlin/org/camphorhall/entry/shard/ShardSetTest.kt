package org.camphorhall.entry.shard

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.camphorhall.core.config.Configuration
import org.camphorhall.core.routing.WorkerSnapshot
import org.camphorhall.core.shard.ShardSettings
import org.camphorhall.entry.Clocks
import org.camphorhall.entry.store.ClusterState
import org.camphorhall.entry.store.EntryRecord
import org.camphorhall.entry.store.StoreKeys
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ShardSetTest {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val store = InMemoryKeyValueStore()
    private val self = EntryRecord("a-1", "127.0.0.1:1", "127.0.0.1:2", "a")
    private val clocks = Clocks()

    @Volatile
    private var cluster = ClusterState(entries = mapOf(self.id to self))
    private val shards = ShardSet(SHARDS, self, store, { cluster }, { "lease" }, ::newHost, scope)

    @AfterEach
    fun stop() = scope.cancel()

    /** Guards against shards without an owner during a store outage, whose tasks would lose their leases. */
    @Test
    fun `releases no shard while the store is unavailable`() = runBlocking<Unit> {
        acquireAll()
        store.rejects = { true }
        cluster = cluster.copy(entries = cluster.entries + otherEntries())
        delay(LONGER_THAN_REBALANCE)
        expectThat(shards.all().size).isEqualTo(SHARDS)
    }

    /** Guards against a shard that stays without an owner because deleting its owner record failed once. */
    @Test
    fun `frees a released shard after its owner record could not be deleted at first`() = runBlocking<Unit> {
        acquireAll()
        store.rejects = { it == InMemoryKeyValueStore.Call.Delete }
        cluster = cluster.copy(entries = cluster.entries + otherEntries())
        val releasedShard = eventually { (0 until SHARDS).firstOrNull { shards.host(it) == null } }
        expectThat(releasedShard).isNotNull()
        store.rejects = { false }
        val freed = eventually { Unit.takeIf { store.get(StoreKeys.owner(releasedShard!!)).getOrNull() == null } }
        expectThat(freed).isEqualTo(Unit)
    }

    private suspend fun acquireAll() {
        scope.launch { shards.run() }
        expectThat(eventually { Unit.takeIf { shards.all().count { it.acceptsRequests } == SHARDS } }).isEqualTo(Unit)
    }

    /** Enough other entries that for every shard one of them is preferred over this entry. */
    private fun otherEntries() =
        List(50) { EntryRecord("b-$it", "127.0.0.1:1", "127.0.0.1:2", "b") }.associateBy { it.id }

    private suspend fun <T : Any> eventually(probe: suspend () -> T?): T? = withTimeoutOrNull(20.seconds) {
        var value = probe()
        while (value == null) {
            delay(20.milliseconds)
            value = probe()
        }
        value
    }

    private fun newHost(shard: Int, epoch: Long) = ShardHost(
        shard,
        epoch,
        self.id,
        ShardSettings(),
        store,
        clocks,
        workerSnapshot = { WorkerSnapshot() },
        config = { Configuration() },
        sendCommand = { _, _ -> },
    )

    private companion object {
        const val SHARDS = 4

        /** A shard set releases at most one shard every 2 s. */
        val LONGER_THAN_REBALANCE = 5.seconds
    }
}
