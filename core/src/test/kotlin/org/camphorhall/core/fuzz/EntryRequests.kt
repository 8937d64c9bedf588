package org.camphorhall.core.fuzz

import org.camphorhall.core.agent.Request
import org.camphorhall.core.agent.shardOf
import org.camphorhall.core.model.ClassName
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.RequestId
import org.camphorhall.core.model.RequestOutcome
import org.camphorhall.core.model.TenantName
import org.camphorhall.core.routing.RequestAction
import org.camphorhall.core.routing.RequestContext
import org.camphorhall.core.routing.RequestEvent
import org.camphorhall.core.routing.RequestMachine
import org.camphorhall.core.routing.RequestState
import org.camphorhall.core.shard.KeyShardEvent
import kotlin.time.Duration.Companion.nanoseconds

/** The part of an entry that serves requests. */
internal class EntryRequests(private val entry: EntryNode) {
    private class Served(var state: RequestState, var body: String? = null)

    private val world = entry.world
    private val machine = RequestMachine()
    private val served = mutableMapOf<String, Served>()
    private var lastBody: String? = null

    /** Requests on the way to this process, which a pause may hold up. */
    val arriving = mutableSetOf<String>()

    fun clear() {
        served.clear()
        arriving.clear()
    }

    fun open(): List<String> = served.keys.toList()

    /** Takes a request from a caller. */
    fun accept(id: String, className: ClassName, key: String?, timeout: Long) {
        arriving -= id
        val work = entry.config.workClass(className)
        val refusal = when {
            entry.stopping -> Reason.Draining
            work == null -> Reason.UnknownClass
            else -> null
        }
        if (refusal != null) {
            world.oracle.requestAnswered(id, RequestOutcome.NotRun(refusal), null)
            return
        }
        val deadline = entry.now() + timeout.nanoseconds
        val s = Served(RequestState(RequestId(id), className, deadline, idempotent = key == null, key = key))
        served[id] = s
        entry.later(timeout) { step(s, RequestEvent.DeadlineReached) }
        step(s, RequestEvent.Start)
    }

    fun callerGone(id: String) {
        served[id]?.let { step(it, RequestEvent.CallerDisconnected) }
    }

    private fun step(s: Served, e: RequestEvent) {
        val context = RequestContext(entry.view, entry.budget, "d1", world.sim.rnd.nextLong())
        val t = machine.step(s.state, e, entry.now(), context)
        world.sim.machineSteps++
        s.state = t.state
        t.actions.forEach { perform(s, it) }
    }

    private fun perform(s: Served, a: RequestAction) {
        when (a) {
            is RequestAction.ClaimKey -> claim(s, a.key, tries = 3)
            is RequestAction.Send -> send(s, a)
            is RequestAction.Withdraw -> withdraw(s, a)
            is RequestAction.SettleKey -> settle(s, a, retries = 3)
            is RequestAction.Finish -> {
                served.remove(s.state.id.value)
                world.oracle.requestAnswered(s.state.id.value, a.outcome, a.record?.body ?: s.body)
            }
        }
    }

    private fun owner(key: String) = entry.owners[shardOf(key, SHARDS)]?.let { o -> world.entry(o.node) }

    private fun claimant(s: Served) = "${entry.id}/${s.state.id}"

    private fun claim(s: Served, key: String, tries: Int) {
        if (world.planted == Planted.NoKeyClaim) return step(s, RequestEvent.KeyGranted)
        val owner = owner(key) ?: return step(s, RequestEvent.KeyRejected(Reason.StoreUnavailable))
        val until = entry.moment().wallMillis + (s.state.deadline - entry.now()).inWholeMilliseconds
        val handle = { reply: (KeyReply) -> Unit -> owner.jobs.claim(key, claimant(s), until, reply) }
        world.net.call(entry, owner, 200 * MS, handle) { r ->
            val answer = (r as? Reply.Ok)?.value
            if (answer == null && tries > 1) return@call claim(s, key, tries - 1)
            val event = when (answer) {
                null -> RequestEvent.KeyRejected(Reason.StoreUnavailable)
                KeyReply.Granted -> RequestEvent.KeyGranted
                is KeyReply.Recorded -> RequestEvent.KeyRecorded(answer.record)
                is KeyReply.Taken -> RequestEvent.KeyConflict(answer.reason)
                is KeyReply.Refused -> RequestEvent.KeyRejected(answer.reason)
            }
            step(s, event)
        }
    }

    private fun send(s: Served, a: RequestAction.Send) {
        val left = entry.budget
        entry.budget = if (a.retry) left.retry() ?: left else left.firstTry()
        val agent = world.agents.firstOrNull { it.name == a.address }
            ?: return step(s, RequestEvent.SendFailed(a.worker, notSent = true))
        val request = Request(s.state.id, s.state.className, TENANT, a.deadline, s.state.idempotent)
        val handle = { reply: (ExecuteReply) -> Unit -> agent.execute(request, a.incarnation, reply) }
        world.net.call(entry, agent, 1_500 * MS, handle) { r ->
            when (r) {
                is Reply.Ok -> if (r.value.id == s.state.id) replied(s, a, r.value)
                Reply.NotSent -> step(s, RequestEvent.SendFailed(a.worker, notSent = true))
                Reply.Broken -> {
                    val sure = world.planted == Planted.LostIsNotRun
                    step(s, RequestEvent.SendFailed(a.worker, notSent = sure))
                }
            }
        }
    }

    private fun replied(s: Served, a: RequestAction.Send, r: ExecuteReply) {
        s.body = if (world.planted == Planted.WrongReply) lastBody else r.body
        lastBody = r.body
        step(s, RequestEvent.AgentResponded(a.worker, r.outcome))
    }

    private fun withdraw(s: Served, a: RequestAction.Withdraw) {
        val agent = world.agents.firstOrNull { it.name == a.address }
            ?: return step(s, RequestEvent.WithdrawalFailed(a.worker))
        val handle = { reply: (Boolean) -> Unit -> agent.withdraw(s.state.id, a.incarnation, a.deadline, reply) }
        world.net.call(entry, agent, 300 * MS, handle) { r ->
            val event = when (r) {
                is Reply.Ok -> RequestEvent.WithdrawalAcknowledged(a.worker, r.value)
                else -> RequestEvent.WithdrawalFailed(a.worker)
            }
            step(s, event)
        }
    }

    private fun settle(s: Served, a: RequestAction.SettleKey, retries: Int) {
        val reason = when (val o = a.outcome) {
            is RequestOutcome.Unknown -> o.reason.code
            is RequestOutcome.Failed -> o.reason.code
            else -> null
        }
        val event = KeyShardEvent.Settle(a.key, claimant(s), a.outcome.code, reason, s.body)
        val again = { if (retries > 0) entry.later(200 * MS) { settle(s, a, retries - 1) } }
        val owner = owner(a.key) ?: return again()
        val handle = { reply: (Boolean) -> Unit -> reply(owner.jobs.settle(event)) }
        world.net.call(entry, owner, 300 * MS, handle) { r -> if ((r as? Reply.Ok)?.value != true) again() }
    }
}

internal val TENANT = TenantName("tenant")
