package org.camphorhall.core.fuzz

import org.camphorhall.core.account.Counts
import org.camphorhall.core.agent.shardOf
import org.camphorhall.core.model.JobId
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.WorkerId
import org.camphorhall.core.shard.AttemptReport
import org.camphorhall.core.shard.JobPage
import org.camphorhall.core.shard.JobShardAction
import org.camphorhall.core.shard.JobShardEvent
import org.camphorhall.core.shard.JobShardMachine
import org.camphorhall.core.shard.JobShardState
import org.camphorhall.core.shard.KeyPage
import org.camphorhall.core.shard.KeyRecord
import org.camphorhall.core.shard.KeyShardAction
import org.camphorhall.core.shard.KeyShardEvent
import org.camphorhall.core.shard.KeyShardMachine
import org.camphorhall.core.shard.KeyShardState
import org.camphorhall.core.shard.PageCall
import org.camphorhall.core.shard.PageEvent
import org.camphorhall.core.shard.SingleStepJobSpec

/** A shard that an entry owns. */
internal class OwnedShard(val n: Int, val epoch: Long, writer: String, since: MonotonicInstant, now: MonotonicInstant) {
    var job = JobShardState.acquired(n, epoch, writer, since).copy(storeLeaseRenewedAt = now)
    var key = KeyShardState.acquired(n, epoch, writer)
}

/** Answer of the owner of a shard to a submission or a cancellation. */
internal sealed interface JobReply {
    data object Done : JobReply
    data class Refused(val reason: Reason) : JobReply
    data object InDoubt : JobReply
}

/** Answer of the owner of a shard to the claim of a key. */
internal sealed interface KeyReply {
    data object Granted : KeyReply
    data class Recorded(val record: KeyRecord) : KeyReply
    data class Taken(val reason: Reason) : KeyReply
    data class Refused(val reason: Reason) : KeyReply
}

/** The part of an entry that runs the state machines of its shards. */
internal class EntryJobs(private val entry: EntryNode) {
    private val world = entry.world
    private val oracle = world.oracle
    private val machine = JobShardMachine(world.shardSettings)
    private val keyMachine = KeyShardMachine(world.shardSettings)
    private class Waiting<R>(val shard: OwnedShard, val answer: (R) -> Unit)

    private val jobReplies = mutableMapOf<Long, Waiting<JobReply>>()
    private val keyReplies = mutableMapOf<Long, Waiting<KeyReply>>()
    private var answered: JobShardAction.RespondToHeartbeat? = null

    fun clear() {
        jobReplies.clear()
        keyReplies.clear()
    }

    /** Answers the callers that wait for a shard which this entry owns no more. */
    fun dropped(s: OwnedShard) {
        jobReplies.filterValues { it.shard === s }.keys.forEach { jobReplies.remove(it)?.answer(JobReply.InDoubt) }
        keyReplies.filterValues { it.shard === s }.keys.forEach {
            keyReplies.remove(it)?.answer(KeyReply.Refused(Reason.ShardMoved))
        }
    }

    fun open(): List<String> = jobReplies.keys.map { "submission $it" }

    fun tick() = entry.shards.values.toList().forEach { s ->
        step(s, JobShardEvent.Tick)
        step(s, KeyShardEvent.Tick)
    }

    fun storeContact(sentAt: MonotonicInstant) =
        entry.shards.values.toList().forEach { step(it, JobShardEvent.StoreLeaseRenewed(sentAt)) }

    fun workerHeard(s: OwnedShard, worker: WorkerId, epoch: Long, reports: List<AttemptReport>) =
        answered.let {
            answered = null
            step(s, JobShardEvent.HeartbeatReceived(0, worker, epoch, reports))
            answered
        }

    /** Handles a submission if this entry owns the shard. */
    fun submit(id: JobId, spec: SingleStepJobSpec, reply: (JobReply) -> Unit) {
        val s = owned(id) ?: return reply(JobReply.Refused(Reason.ShardMoved))
        oracle.jobSubmitted(id)
        val r = world.nextNumber()
        jobReplies[r] = Waiting(s) { answer ->
            if (answer is JobReply.Done) oracle.jobAccepted(id, world.store)
            if (answer is JobReply.Refused) oracle.jobRefused(id, answer.reason)
            reply(answer)
        }
        if (world.planted == Planted.EarlyAcknowledgement) jobReplies.remove(r)?.answer(JobReply.Done)
        step(s, JobShardEvent.Submit(r, id, spec))
        if (world.planted == Planted.LosesCounts) {
            val c = s.job.commit
            s.job = s.job.copy(commit = c.copy(current = c.current.copy(counts = Counts())))
        }
    }

    fun cancel(id: JobId, reply: (JobReply) -> Unit) {
        val s = owned(id) ?: return reply(JobReply.Refused(Reason.ShardMoved))
        val r = world.nextNumber()
        jobReplies[r] = Waiting(s, reply)
        step(s, JobShardEvent.Cancel(r, id))
    }

    private fun owned(id: JobId) = entry.shards[shardOf(id, SHARDS)]

    fun claim(key: String, claimant: String, deadlineMillis: Long, reply: (KeyReply) -> Unit) {
        val s = entry.shards[shardOf(key, SHARDS)] ?: return reply(KeyReply.Refused(Reason.ShardMoved))
        val r = world.nextNumber()
        keyReplies[r] = Waiting(s, reply)
        step(s, KeyShardEvent.Claim(r, key, claimant, deadlineMillis))
    }

    /** Returns whether this entry owns the shard of the key. */
    fun settle(e: KeyShardEvent.Settle): Boolean {
        val s = entry.shards[shardOf(e.key, SHARDS)] ?: return false
        step(s, e)
        return true
    }

    private fun step(s: OwnedShard, e: JobShardEvent) {
        val t = machine.step(s.job, e, entry.moment(), entry.view, entry.config)
        world.sim.machineSteps++
        s.job = t.state
        t.actions.forEach { perform(s, it) }
    }

    private fun step(s: OwnedShard, e: KeyShardEvent) {
        val t = keyMachine.step(s.key, e, entry.moment())
        world.sim.machineSteps++
        s.key = t.state
        t.actions.forEach { perform(s, it) }
    }

    private fun perform(s: OwnedShard, a: JobShardAction) {
        when (a) {
            is JobShardAction.CallStore -> page("shards/${s.n}/jobs", a.call, JobPage()) {
                if (entry.shards[s.n] === s) step(s, JobShardEvent.PageResponse(it))
            }
            is JobShardAction.Accepted -> jobReplies.remove(a.correlationId)?.answer(JobReply.Done)
            is JobShardAction.Rejected -> jobReplies.remove(a.correlationId)?.answer(JobReply.Refused(a.reason))
            is JobShardAction.InDoubt -> jobReplies.remove(a.correlationId)?.answer(JobReply.InDoubt)
            is JobShardAction.CancelRecorded -> jobReplies.remove(a.correlationId)?.answer(JobReply.Done)
            is JobShardAction.RespondToHeartbeat -> answered = a
            is JobShardAction.Command -> command(s, a)
            JobShardAction.OwnershipLost -> entry.lose(s)
        }
    }

    private fun command(s: OwnedShard, c: JobShardAction.Command) {
        val agent = world.agents.firstOrNull { it.name == c.address } ?: return
        world.net.call<List<AttemptReport>>(entry, agent, 500 * MS, { reply -> agent.command(c, reply) }) { r ->
            if (r is Reply.Ok && entry.shards[s.n] === s) step(s, JobShardEvent.CommandResponse(c.worker, r.value))
        }
    }

    private fun perform(s: OwnedShard, a: KeyShardAction) {
        when (a) {
            is KeyShardAction.CallStore -> page("shards/${s.n}/keys", a.call, KeyPage()) {
                if (entry.shards[s.n] === s) step(s, KeyShardEvent.PageResponse(it))
            }
            is KeyShardAction.Granted -> keyReplies.remove(a.correlationId)?.answer(KeyReply.Granted)
            is KeyShardAction.Recorded -> keyReplies.remove(a.correlationId)?.answer(KeyReply.Recorded(a.record))
            is KeyShardAction.AlreadyClaimed -> keyReplies.remove(a.correlationId)?.answer(KeyReply.Taken(a.reason))
            is KeyShardAction.Rejected -> keyReplies.remove(a.correlationId)?.answer(KeyReply.Refused(a.reason))
            KeyShardAction.OwnershipLost -> entry.lose(s)
        }
    }

    @Suppress("UNCHECKED_CAST")
    private fun <B : Any> page(key: String, call: PageCall<B>, empty: B, done: (PageEvent<B>) -> Unit) {
        when (call) {
            PageCall.Read -> world.store.call(entry, { get(key) }) { r ->
                val page = (r as? StoreReply.Ok)?.value?.value as Page<B>?
                when {
                    r !is StoreReply.Ok -> done(PageEvent.ReadFailed)
                    page == null -> done(PageEvent.Read(0, 0, "", empty))
                    else -> done(PageEvent.Read(r.value!!.version, page.epoch, page.token, page.book))
                }
            }
            is PageCall.Write -> {
                val page = Page(call.epoch, call.token, call.page)
                world.store.call(entry, { put(key, call.expected, page) }) { r ->
                    val version = (r as? StoreReply.Ok)?.value
                    when {
                        version != null -> done(PageEvent.Written(call.token, version))
                        r == StoreReply.Refused -> done(PageEvent.NotWritten(call.token))
                        else -> done(PageEvent.InDoubt(call.token))
                    }
                }
            }
        }
    }
}
