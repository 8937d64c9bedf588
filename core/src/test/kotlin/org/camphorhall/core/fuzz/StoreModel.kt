package org.camphorhall.core.fuzz

import org.camphorhall.core.config.Configuration
import org.camphorhall.core.shard.JobPage

/** Value of a page in the store. */
internal data class Page<B>(val epoch: Long, val token: String, val book: B)

/** Value of `owners/<n>`. */
internal data class Owner(val entry: String, val node: String)

/** Value of `config`. */
internal data class ConfigDocument(val config: Configuration, val token: String)

internal data class Stored(val version: Long, val value: Any, val lease: Long? = null)

/** Result of a call to the store. */
internal sealed interface StoreReply<out R> {
    data class Ok<R>(val value: R) : StoreReply<R>

    /** The call surely had no effect. */
    data object Refused : StoreReply<Nothing>

    /** The call may have had, or may still have, its effect. */
    data object InDoubt : StoreReply<Nothing>
}

/** The platform's key-value service: compare-and-swap, leases, outages, lost answers and late effects. */
internal class StoreModel(private val sim: Sim, private val oracle: Oracle) {
    enum class Mode { Up, Refusing, Silent, Slow }

    private data class Lease(var until: Long, val ttl: Long)

    var mode = Mode.Up
    var lossPercent = 0.5
    val unreachableFrom = mutableSetOf<String>()
    private val items = sortedMapOf<String, Stored>()
    private val leases = mutableMapOf<Long, Lease>()
    private var revision = 0L

    fun heal() {
        mode = Mode.Up
        lossPercent = 0.5
        unreachableFrom.clear()
    }

    /** Calls the store from [from]; [op] takes effect at most once. */
    fun <R> call(from: Node, op: StoreModel.() -> R, done: (StoreReply<R>) -> Unit) {
        var open = true
        val gen = from.generation
        val finish = { r: StoreReply<R> ->
            from.deliverTo(gen) {
                if (open) {
                    open = false
                    done(r)
                }
            }
        }
        val cutOff = from.name in unreachableFrom
        if (mode == Mode.Refusing && !cutOff) {
            sim.after(MS) { finish(StoreReply.Refused) }
            return
        }
        sim.after(CALL_TIMEOUT) { finish(StoreReply.InDoubt) }
        if (mode == Mode.Silent || cutOff || sim.chance(lossPercent)) return
        val slow = mode == Mode.Slow && sim.chance(50.0) || sim.chance(lossPercent)
        val delay = if (slow) sim.millis(50, 2_000) else sim.millis(1, 5)
        sim.after(delay) {
            expireLeases()
            val result = op()
            val answered = !sim.chance(lossPercent) && from.name !in unreachableFrom && mode != Mode.Silent
            if (answered) sim.after(sim.millis(1, 5)) { finish(StoreReply.Ok(result)) }
        }
    }

    fun get(key: String): Stored? = items[key]

    fun list(prefix: String): Map<String, Stored> = items.filterKeys { it.startsWith(prefix) }

    /** Returns the new version, or null on a version mismatch or an expired lease. */
    fun put(key: String, expected: Long, value: Any, lease: Long? = null): Long? {
        if ((items[key]?.version ?: 0) != expected || lease != null && lease !in leases) return null
        items[key] = Stored(++revision, value, lease)
        when (value) {
            is ConfigDocument -> oracle.configStored(value)
            is Page<*> -> if (value.book is JobPage) oracle.jobPageWritten(key, value.book)
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

    fun jobBooks(): List<JobPage> = items.values.mapNotNull { ((it.value as? Page<*>)?.book as? JobPage) }


    companion object {
        const val CALL_TIMEOUT = 250 * MS
    }
}
