package org.camphorhall.core.fuzz

import org.camphorhall.core.config.Configuration
import org.camphorhall.core.shard.JobPage

/** Value of a page in the store. */
internal data class StoredPage<B>(val epoch: Long, val token: String, val page: B)

/** Value of `owners/<n>`. */
internal data class ShardOwner(val processId: String, val node: String)

/** Value of `config`. */
internal data class ConfigDocument(val config: Configuration, val token: String)

internal data class StoredValue(val version: Long, val value: Any, val lease: Long? = null)

/** Result of a call to the store. */
internal sealed interface StoreResult<out R> {
    data class Ok<R>(val value: R) : StoreResult<R>

    /** The call is guaranteed to have had no effect. */
    data object Rejected : StoreResult<Nothing>

    /** The call may have taken effect or may still take effect. */
    data object InDoubt : StoreResult<Nothing>
}

/** The platform's key-value service with compare-and-swap, leases, outages, lost responses and delayed writes. */
internal class StoreModel(private val sim: Simulator, private val oracle: Oracle) {
    enum class Mode { Up, Rejecting, Unresponsive, Slow }

    private data class Lease(var until: Long, val ttl: Long)

    var mode = Mode.Up
    var lossPercent = 0.5
    val unreachableFrom = mutableSetOf<String>()
    private val items = sortedMapOf<String, StoredValue>()
    private val leases = mutableMapOf<Long, Lease>()
    private var revision = 0L

    fun heal() {
        mode = Mode.Up
        lossPercent = 0.5
        unreachableFrom.clear()
    }

    /** Calls the store from [from]; [op] takes effect at most once. */
    fun <R> call(from: Node, op: StoreModel.() -> R, done: (StoreResult<R>) -> Unit) {
        var open = true
        val gen = from.generation
        val finish = { r: StoreResult<R> ->
            from.deliverToGeneration(gen) {
                if (open) {
                    open = false
                    done(r)
                }
            }
        }
        val cutOff = from.name in unreachableFrom
        if (mode == Mode.Rejecting && !cutOff) {
            sim.after(MS) { finish(StoreResult.Rejected) }
            return
        }
        sim.after(CALL_TIMEOUT) { finish(StoreResult.InDoubt) }
        if (mode == Mode.Unresponsive || cutOff || sim.chance(lossPercent)) return
        val slow = mode == Mode.Slow && sim.chance(50.0) || sim.chance(lossPercent)
        val delay = if (slow) sim.randomMillis(50, 2_000) else sim.randomMillis(1, 5)
        sim.after(delay) {
            expireLeases()
            val result = op()
            val responds = !sim.chance(lossPercent) && from.name !in unreachableFrom && mode != Mode.Unresponsive
            if (responds) sim.after(sim.randomMillis(1, 5)) { finish(StoreResult.Ok(result)) }
        }
    }

    fun get(key: String): StoredValue? = items[key]

    fun list(prefix: String): Map<String, StoredValue> = items.filterKeys { it.startsWith(prefix) }

    /** Returns the new version, or null on a version mismatch or an expired lease. */
    fun put(key: String, expected: Long, value: Any, lease: Long? = null): Long? {
        if ((items[key]?.version ?: 0) != expected || lease != null && lease !in leases) return null
        items[key] = StoredValue(++revision, value, lease)
        when (value) {
            is ConfigDocument -> oracle.configStored(value)
            is StoredPage<*> -> if (value.page is JobPage) oracle.jobPageWritten(key, value.page)
        }
        return revision
    }

    fun delete(key: String, expected: Long) {
        if (items[key]?.version == expected) items.remove(key)
    }

    fun grant(ttl: Long): Long {
        val id = ++revision
        leases[id] = Lease(sim.now + ttl, ttl)
        return id
    }

    fun renew(id: Long): Boolean {
        val lease = leases[id] ?: return false
        lease.until = sim.now + lease.ttl
        return true
    }

    fun revoke(id: Long) {
        leases.remove(id)
        items.values.removeIf { it.lease == id }
    }

    private fun expireLeases() {
        leases.filterValues { it.until < sim.now }.keys.toList().forEach { revoke(it) }
    }

    fun jobPages(): List<JobPage> = items.values.mapNotNull { ((it.value as? StoredPage<*>)?.page as? JobPage) }


    companion object {
        const val CALL_TIMEOUT = 250 * MS
    }
}
