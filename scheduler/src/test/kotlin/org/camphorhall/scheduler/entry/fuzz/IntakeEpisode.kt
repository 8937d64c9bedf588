package org.camphorhall.scheduler.entry.fuzz

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.camphorhall.core.jobs.DueWork
import org.camphorhall.core.jobs.ShardLoad
import org.camphorhall.platform.intake.IntakeResponse
import org.camphorhall.scheduler.entry.IntakeFixture
import org.camphorhall.scheduler.owner.InMemoryTransactionalStore
import org.camphorhall.scheduler.owner.Ownership
import org.camphorhall.scheduler.owner.ShardStore
import org.camphorhall.scheduler.support.Clock
import org.camphorhall.scheduler.support.IntakeFence
import org.camphorhall.scheduler.support.ShardKeys
import org.camphorhall.scheduler.support.toFence
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Callers of three entries, one of which is full, and an owner that deletes the records of ended jobs. */
internal class IntakeEpisode(
    seed: Long,
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val fault: IntakeFault?,
) {
    private val random = Random(seed)
    private val keys = ShardKeys(0)
    private val memory = InMemoryTransactionalStore()
    private val oracle = IntakeOracle(keys)
    private val faultPercent = random.nextInt(5, 70)
    private val store = UnreliableStore(memory, keys, scope, random, oracle, clock::steady, fault, faultPercent)
    private val fixture = IntakeFixture(store, clock, scope, PATIENCE)
    private val backlog = ShardLoad("service", 10_000, 10_000, listOf(DueWork(0, false, withinMillis = 1, work = 1e9)))
    private val entries = MutableList(ENTRIES) { fixture.Entry() }
    private val cleanable = HashSet<String>()
    private var hasEnded = false

    /** Runs the episode and returns the broken rules. */
    suspend fun run(): List<String> {
        val ownership = Ownership(memory, keys, "owner", "127.0.0.1:1", clock).also { it.tryAcquire() }
        val cleanup = scope.launch { cleanUp(ownership.epochRevision) }
        val callers = List(random.nextInt(1, MAX_CALLERS)) { caller ->
            scope.launch { repeat(JOBS) { live("%016x".format(caller * JOBS + it)) } }
        }
        callers.joinAll()
        // All late writes are carried out, and all submissions that were held up end.
        delay(40.seconds)
        hasEnded = true
        cleanup.join()
        val fence = memory.get(keys.fence).getOrNull().toFence().fence
        if (fence.withdrawn.size > IntakeFence.MAX_WITHDRAWN) oracle.violations += "${fence.withdrawn.size} withdrawn"
        return oracle.violations
    }

    /** The requests of one caller for [job]: repeated, cancelled, at other entries, some delayed by the network. */
    private suspend fun live(job: String) {
        submit(job)
        repeat(random.nextInt(1, 5)) {
            when (random.nextInt(6)) {
                0, 1 -> submit(job)
                2 -> cancel(job)
                3 -> scope.launch {
                    delay(random.nextLong(MAX_DELAY_MILLIS).milliseconds)
                    submit(job)
                }
                4 -> {
                    // The caller gives up before the response.
                    scope.launch { submit(job) }
                    delay(random.nextLong(MAX_DELAY_MILLIS).milliseconds)
                    cancel(job)
                }
                else -> entries[random.nextInt(ENTRIES)] = fixture.Entry()
            }
            delay(random.nextLong(MAX_PAUSE_MILLIS).milliseconds)
        }
        if (random.nextInt(3) > 0) cleanable += job
        delay(random.nextLong(MAX_DELAY_MILLIS).milliseconds)
    }

    private suspend fun submit(job: String) {
        if (oracle.isLongWithdrawn(job, clock.steady())) return
        val arrivedAt = clock.steady()
        oracle.recordArrival(job, arrivedAt)
        val entry = if (random.nextInt(4) == 0) fixture.Entry(listOf(backlog)) else entries.random(random)
        patiently {
            val response = entry.submit(job)
            if (response is IntakeResponse.Overloaded) oracle.recordRefused(job, arrivedAt, clock.steady())
        }
    }

    private suspend fun cancel(job: String) = patiently {
        val response = entries.random(random).cancel(job)
        if (response == IntakeResponse.UnknownJob) oracle.recordWithdrawn(job, clock.steady())
    }

    /** Waits for [request] as long as a caller does; the entry works on if it is held up. */
    private suspend fun patiently(request: suspend () -> Unit) {
        val response = scope.launch { request() }
        withTimeoutOrNull(PATIENCE) { response.join() }
    }

    private suspend fun cleanUp(epochRevision: Long) {
        val records = ShardStore(store, keys)
        var forgettable = emptySet<String>()
        while (!hasEnded) {
            val loaded = records.load().getOrNull()
            if (loaded != null) {
                val jobs = loaded.jobs.associate { it.record.id to it.recordRevision }.filterKeys { it in cleanable }
                if (fault == IntakeFault.CleanupKeepsFence || records.advanceFence(forgettable, epochRevision)) {
                    oracle.recordCleanup(jobs.keys, clock.steady())
                    records.delete(jobs, epochRevision)
                }
                forgettable = loaded.withdrawn
            }
            // Longer than any request is timely, so that the fence forgets no id that one of them may still need.
            delay(RETENTION)
        }
    }

    private companion object {
        const val ENTRIES = 3
        const val MAX_CALLERS = 6
        const val JOBS = 10
        const val MAX_DELAY_MILLIS = 2_000L
        const val MAX_PAUSE_MILLIS = 400L
        val PATIENCE = 3.seconds
        val RETENTION = 6.seconds
    }
}
