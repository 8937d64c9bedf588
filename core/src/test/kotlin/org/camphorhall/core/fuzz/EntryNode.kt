package org.camphorhall.core.fuzz

import kotlinx.collections.immutable.toPersistentMap
import org.camphorhall.core.agent.shardOf
import org.camphorhall.core.config.ConfigItem
import org.camphorhall.core.config.ConfigUpdate
import org.camphorhall.core.config.Configuration
import org.camphorhall.core.model.ClockReading
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.WorkerId
import org.camphorhall.core.routing.RetryBudget
import org.camphorhall.core.routing.WorkerInfo
import org.camphorhall.core.routing.WorkerSnapshot

/** The process around the state machines of an entry: store lease, shards, worker view, configuration. */
internal class EntryNode(val world: World, name: String) : Node(world.sim, name) {
    private var lease: Long? = null
    private var knowsStoreConfig = false
    private val takenEpochs = mutableSetOf<Long>()
    val shards = sortedMapOf<Int, OwnedShard>()
    val owners = mutableMapOf<Int, Owner>()
    val jobs = EntryJobs(this)
    val requests = EntryRequests(this)
    var view = WorkerSnapshot()
        private set
    var config = Configuration()
        private set
    var budget = RetryBudget()
    var stopping = false
        private set
    val id get() = "$name/$generation"

    init {
        start()
    }

    fun now() = MonotonicInstant(sim.now + OFFSET)

    fun moment() = ClockReading(now(), sim.now / MS)

    fun start() {
        revive()
        lease = null
        knowsStoreConfig = false
        stopping = false
        shards.clear()
        owners.clear()
        jobs.clear()
        requests.clear()
        view = WorkerSnapshot()
        config = Configuration()
        budget = RetryBudget()
        readConfig()
        every(50 * MS) { tick() }
        every(200 * MS) { maintain() }
        every(200 * MS) { readConfig() }
    }

    private fun tick() {
        for (w in view.workers.values) {
            if ((now() - w.lastSeenAt).inWholeMilliseconds > 6_000) view = view.remove(w.id)
        }
        if (sim.now - startedAt > 1_000 * MS && view.workers.isNotEmpty()) view = view.copy(shapesComplete = true)
        jobs.tick()
        if (!stopping) return
        val unfinished = requests.open() + jobs.open()
        val clean = shards.values.all { !it.job.commit.dirty && it.job.commit.inFlight == null }
        val exits = unfinished.isEmpty() && clean || world.planted == Planted.EntryExitsEarly
        if (!exits) return
        world.oracle.plannedExit(name, unfinished)
        release()
        kill()
    }

    /** Ends the process at once; its callers see a broken connection. */
    fun kill() {
        (requests.open() + requests.arriving).forEach { world.oracle.requestLost(it) }
        crash()
    }

    /** Begins a planned stop; the other entries no longer count on this one for free shards. */
    fun stop() {
        stopping = true
        val key = "entries/$id"
        world.store.call(this, { get(key)?.let { delete(key, it.version) } }) {}
    }

    private fun release() {
        val old = lease ?: return
        world.store.call(this, { revoke(old) }) {}
    }

    private fun maintain() {
        val held = lease
        if (held == null) {
            val me = id
            world.store.call(this, { grant(STORE_LEASE).also { put("entries/$me", 0, me, it) } }) { r ->
                if (r is StoreReply.Ok && lease == null) lease = r.value
            }
            return
        }
        val sentAt = now()
        val renewal = { s: StoreModel -> Triple(s.renew(held), s.list("owners/"), s.list("entries/")) }
        world.store.call(this, { renewal(this) }) { r ->
            if (r is StoreReply.Ok && lease == held) {
                val (renewed, ownerItems, entryItems) = r.value
                if (renewed) {
                    jobs.storeContact(sentAt)
                    checkOwners(held, ownerItems, entryItems.values.map { it.value as String })
                } else {
                    lease = null
                    shards.values.toList().forEach { drop(it) }
                }
            }
        }
    }

    private fun drop(s: OwnedShard): Boolean {
        val dropped = shards.remove(s.n, s)
        if (dropped) jobs.dropped(s)
        return dropped
    }

    private fun checkOwners(held: Long, items: Map<String, Stored>, live: List<String>) {
        // An earlier registration whose answer was lost has expired with its own lease.
        if (id !in live && !stopping) world.store.call(this, { put("entries/$id", 0, id, held) }) {}
        for (n in 0 until SHARDS) {
            val item = items["owners/$n"]
            val owner = item?.value as Owner?
            if (owner == null) owners.remove(n) else owners[n] = owner
            when {
                stopping -> Unit
                owner == null -> if (live.maxByOrNull { "$it#$n".hashCode() } == id) claim(n, held)
                owner.entry == id -> take(n, item!!.version)
                else -> shards[n]?.let { drop(it) }
            }
        }
    }

    private fun claim(n: Int, held: Long) {
        val owner = Owner(id, name)
        world.store.call(this, { put("owners/$n", 0, owner, held) }) { r ->
            val version = (r as? StoreReply.Ok)?.value
            if (version != null && lease == held) take(n, version)
        }
    }

    /** Takes a shard once for each epoch, because the tokens of an epoch must not repeat. */
    private fun take(n: Int, epoch: Long) {
        if (shards[n]?.epoch == epoch) return
        if (!takenEpochs.add(epoch)) {
            release(n, epoch)
            return
        }
        owners[n] = Owner(id, name)
        val since = if (world.planted == Planted.NoOwnerGrace) MonotonicInstant(0) else now()
        shards[n]?.let { drop(it) }
        shards[n] = OwnedShard(n, epoch, id, since, now())
        world.oracle.note("shard taken")
        jobs.tick()
    }

    /** Drops a shard; if the store still names this entry as its owner, it is claimed again with a new epoch. */
    fun lose(s: OwnedShard) {
        if (drop(s)) release(s.n, s.epoch)
    }

    private fun release(n: Int, epoch: Long) = world.store.call(this, { delete("owners/$n", epoch) }) {}

    private fun readConfig() {
        world.store.call(this, { get("config")?.value as ConfigDocument? }) { r ->
            if (r is StoreReply.Ok) {
                knowsStoreConfig = true
                r.value?.let { applyConfig(it.config) }
            }
        }
    }

    private fun applyConfig(c: Configuration) {
        val before = config.version
        config = config.apply(ConfigUpdate(c.version, 0, c.items.values.toList()))
        world.oracle.configInForce(id, config)
        if (config.version == before) return
        val update = config.updateSince(before)
        for (a in world.agents) {
            world.net.send(this, a) { a.receiveConfig(update) }
        }
    }

    /** Changes one item if the configuration still has version [base]. */
    fun changeConfig(item: ConfigItem, base: Long, token: String) {
        val oracle = world.oracle
        world.store.call(this, { get("config") }) { r ->
            val stored = (r as? StoreReply.Ok)?.value
            val doc = stored?.value as ConfigDocument?
            if (doc != null && doc.config.version != base) oracle.configConflict(token)
            if (doc == null || doc.config.version != base) return@call
            val next = ConfigDocument(doc.config.change(item), token)
            val write = { s: StoreModel ->
                val expected = if (world.planted == Planted.NoConfigCas) s.get("config")!!.version else stored.version
                s.put("config", expected, next)
            }
            world.store.call(this, { write(this) }) { w ->
                if (w is StoreReply.Ok) {
                    if (w.value == null) {
                        oracle.configConflict(token)
                    } else {
                        oracle.configAccepted(token, next.config.version)
                        applyConfig(next.config)
                    }
                }
            }
        }
    }

    fun heartbeat(b: Heartbeat, reply: (HeartbeatReply) -> Unit) {
        noteWorker(b)
        if (!knowsStoreConfig) applyConfig(b.config)
        val answers = shards.values.toList().mapNotNull { s ->
            val reports = b.reports.filter { shardOf(it.id.task, SHARDS) == s.n }
            jobs.workerHeard(s, WorkerId(b.agent.instance.name), b.epochs[s.n], reports)
        }
        reply(
            HeartbeatReply(
                renewals = answers.filter { it.renew }.associate { it.shard to it.epoch },
                acknowledged = answers.flatMap { it.acknowledged },
                stops = answers.flatMap { it.stops },
                update = config.updateSince(b.config.version),
            ),
        )
    }

    private fun noteWorker(b: Heartbeat) {
        val worker = WorkerId(b.agent.instance.name)
        val known = view.workers[worker]
        val newer = known == null || b.incarnation > known.incarnation ||
            b.incarnation == known.incarnation && b.sentAt > known.heartbeatSentAt
        if (!newer) return
        val info = WorkerInfo(
            worker, b.agent.name, "d1", "r1", b.incarnation, b.sentAt, now(), b.capacity, b.used,
            b.reserved, b.draining, b.classes.toPersistentMap(),
        )
        view = view.put(info)
    }

    fun changeView(change: (WorkerSnapshot) -> WorkerSnapshot) {
        view = change(view)
    }

    private companion object {
        const val STORE_LEASE = 600 * MS

        /** The clocks of entries have nothing in common with those of instances. */
        const val OFFSET = 77_000_000_000L
    }
}
