package org.camphorhall.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import kotlinx.collections.immutable.toPersistentHashMap
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.camphorhall.core.agent.AttemptPhase
import org.camphorhall.core.agent.TaskSpec
import org.camphorhall.core.agent.TrackedAttempt
import org.camphorhall.core.model.AttemptId
import org.camphorhall.core.model.ClockReading
import org.camphorhall.core.model.JobId
import org.camphorhall.core.model.Resources
import org.camphorhall.core.model.TaskId
import org.camphorhall.core.model.WorkerId
import org.camphorhall.core.policy.AgentPolicy
import org.camphorhall.core.shard.JobPage
import org.camphorhall.core.shard.JobShardEvent
import org.camphorhall.core.shard.JobShardMachine
import org.camphorhall.core.shard.JobShardState
import org.camphorhall.core.shard.PageEvent
import org.camphorhall.core.shard.SingleStepJobRecord
import org.camphorhall.core.shard.SingleStepJobSpec
import org.camphorhall.core.shard.TaskRecord
import org.camphorhall.core.shard.TaskState
import org.camphorhall.wire.loadReport
import org.camphorhall.wire.proto.HeartbeatRequest
import org.camphorhall.wire.proto.ShardRenewal
import org.camphorhall.wire.toMessage

/** Measures the heap per tracked worker and per task, and the sizes of a job page and of a heartbeat. */
internal class FootprintCommand : CliktCommand("footprint") {
    private val out by option("--out", help = "Directory of the tables").path().default(measurementsDirectory)

    override fun run() {
        val report = BenchmarkReport(
            "footprint",
            "Memory and message sizes",
            "Heap in use after a collection, difference of two sizes; serial collector with compressed references. " +
                "A job has one task; ids have 36 characters and checkpoint handles 12.",
        )
        report.bytesPerItem("worker known to an entry", 1_000, 14_000) { snapshotOf(it) }
        // Each of 256 shards owns 1/256 of 149,000 running tasks.
        report.bytesPerItem("running task in a shard owner", RUNNING_TASKS_PER_SHARD, 8 * RUNNING_TASKS_PER_SHARD) {
            ownerWithTasks(it)
        }
        report.bytesPerItem("task held by an agent", 20, 2_000) { workerWithTasks(it) }
        val page = { n: Int -> json.encodeToString(ListSerializer(SingleStepJobRecord.serializer()), jobs(n)).length }
        report.messageSize("job page, running tasks", RUNNING_TASKS_PER_SHARD, page)
        report.messageSize("job page, ended jobs", ENDED_JOBS_PER_SHARD) { n ->
            json.encodeToString(ListSerializer(SingleStepJobRecord.serializer()), jobs(n).map { endedJob(it) }).length
        }
        report.messageSize("heartbeat of an agent, tasks held", 11, ::heartbeat)
        report.encodeTime("encode a job page with $RUNNING_TASKS_PER_SHARD tasks and $ENDED_JOBS_PER_SHARD ended jobs")
        report.write(out)
    }

    private fun BenchmarkReport.bytesPerItem(name: String, small: Int, large: Int, build: (Int) -> Any) {
        val used = listOf(small, large).map { n ->
            val before = heapInUse()
            val built = build(n)
            val after = heapInUse()
            check(built.hashCode() != 1)
            after - before
        }
        row("item" to name, "from" to small, "to" to large, "bytes per item" to (used[1] - used[0]) / (large - small))
    }

    private fun BenchmarkReport.messageSize(name: String, n: Int, size: (Int) -> Int) = row(
        "message" to name,
        "items" to n,
        "bytes" to size(n),
        "bytes of an empty one" to size(0),
        "bytes per item" to (size(n) - size(0)) / n,
    )

    private fun BenchmarkReport.encodeTime(name: String) {
        val all = jobs(RUNNING_TASKS_PER_SHARD) + jobs(ENDED_JOBS_PER_SHARD).map { endedJob(it) }
        val t = measureCalls(300, 500) {
            json.encodeToString(ListSerializer(SingleStepJobRecord.serializer()), all).encodeToByteArray()
        }
        row("operation" to name, "p50 µs" to t.p50Micros, "p99 µs" to t.p99Micros, "bytes allocated" to t.bytesPerCall)
    }

    private fun heapInUse(): Long {
        repeat(3) { System.gc() }
        val r = Runtime.getRuntime()
        return r.totalMemory() - r.freeMemory()
    }

    private fun jobs(count: Int): List<SingleStepJobRecord> = (0 until count).map { n ->
        val id = JobId("%08x-0000-4000-8000-%012x".format(n, n))
        val attempt = AttemptId(TaskId("${id.value}.0"), 7, 1)
        val state = TaskState.Assigned(attempt, WorkerId("worker-%05d".format(n % 14_000)), 81_234_567_890_123, true)
        val task = TaskRecord(state, attempts = 1, checkpoint = "p:%010d".format(n), progressMillis = 1_234_567)
        val spec = SingleStepJobSpec(
            nightly,
            tenant,
            Resources(2_000, 8_000),
            3_600_000,
            payload = "{\"runMillis\":3600000}",
        )
        SingleStepJobRecord(id, spec, 1_800_000_000_000, 1_800_003_600_000, urgent = false, tasks = listOf(task))
    }

    private fun endedJob(job: SingleStepJobRecord): SingleStepJobRecord =
        job.withTask(0, job.tasks[0].copy(state = TaskState.Done("ok"))).copy(endedMillis = 1_800_003_000_000)

    /** State of a shard owner that has read a page with [count] running tasks and has written it back. */
    private fun ownerWithTasks(count: Int): JobShardState {
        val machine = JobShardMachine()
        val now = ClockReading(origin, 1_800_000_000_000)
        val config = configuration(targetMillis = 1_000)
        val snapshot = snapshotOf(1)
        val jobPage = JobPage(jobs(count).associateBy { it.id }.toPersistentHashMap())
        val events = listOf(
            JobShardEvent.Tick,
            JobShardEvent.PageResponse(PageEvent.Read(1, 6, "old", jobPage)),
            JobShardEvent.Tick,
            JobShardEvent.PageResponse(PageEvent.Written("bench/7/1", 2)),
        )
        val start = JobShardState.acquired(0, 7, "bench", origin)
        return events.foldIndexed(start) { i, s, e ->
            val at = ClockReading(now.mono + kotlin.time.Duration.parse("${i}s"), now.wallMillis + i * 1_000)
            machine.step(s, e, at, snapshot, config).state
        }.also { check(it.ready && it.assigned.size == count) }
    }

    private fun heartbeat(tasks: Int): Int {
        val state = workerWithTasks(0)
        val attempts = jobs(tasks).map { j ->
            val id = (j.tasks[0].state as TaskState.Assigned).id
            val spec = TaskSpec(nightly, tenant, Resources(2_000, 8_000))
            TrackedAttempt(
                id,
                1,
                spec,
                AttemptPhase.Running,
                origin,
                origin,
                origin,
                checkpoint = "p:0000001234",
                progressMillis = 1_234_567,
            )
        }
        return HeartbeatRequest.newBuilder()
            .setWorker("worker-00001")
            .setIncarnation(origin.nanos)
            .setAddress("10.0.0.1:7400")
            .setFailureDomain("domain-1")
            .setRack("rack-1")
            .setSentNanos(origin.nanos)
            .setConfigVersion(18_000)
            .setLoad(state.loadReport(AgentPolicy(), origin))
            .addAllAttempts(attempts.map { it.toMessage() })
            .addAllShards(attempts.indices.map { ShardRenewal.newBuilder().setShard(it).setEpoch(7).build() })
            .setInventoryRead(true)
            .build()
            .serializedSize
    }

    private companion object {
        val json = Json { ignoreUnknownKeys = true }

        /** Running tasks of one shard: (39,000 + 110,000) / 256. */
        const val RUNNING_TASKS_PER_SHARD = 582

        /** Jobs of one shard that end in one day: 190,000 / 256. */
        const val ENDED_JOBS_PER_SHARD = 742
    }
}
