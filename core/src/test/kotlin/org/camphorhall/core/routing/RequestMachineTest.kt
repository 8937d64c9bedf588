package org.camphorhall.core.routing

import kotlinx.collections.immutable.persistentMapOf
import org.camphorhall.core.model.ClassName
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.RequestId
import org.camphorhall.core.model.RequestOutcome
import org.camphorhall.core.model.Resources
import org.camphorhall.core.model.WorkerId
import org.camphorhall.core.shard.KeyRecord
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

class RequestMachineTest {
    private val now = MonotonicInstant(1_000)

    private fun run(
        state: RequestState,
        events: List<RequestEvent>,
        budget: RetryBudget = RetryBudget(),
        at: MonotonicInstant = now,
    ): List<RequestAction> = events.fold(state to emptyList<RequestAction>()) { (s, previous), e ->
        val t = RequestMachine().step(s, e, at, RequestContext(snapshot, budget, "d1", seed = 1))
        t.state to previous + t.actions
    }.second

    private fun outcome(actions: List<RequestAction>): String {
        val last = actions.lastOrNull() as? RequestAction.Finish ?: return "open"
        val reason = when (val o = last.outcome) {
            is RequestOutcome.NotRun -> o.reason
            is RequestOutcome.Unknown -> o.reason
            else -> null
        }
        return listOfNotNull(last.outcome.code, reason?.code).joinToString(" ")
    }

    /** Guards against a `not-run` response for a request that may have run, on any path to the response. */
    @ParameterizedTest
    @MethodSource("paths")
    fun `reports not-run only for a request that did not run`(
        idempotent: Boolean,
        key: String?,
        events: List<RequestEvent>,
        expected: String,
    ) {
        val state = RequestState(RequestId("r"), CLASS, now + 1.seconds, idempotent, key)
        expectThat(outcome(run(state, listOf(RequestEvent.Start) + events))).isEqualTo(expected)
    }

    /** Guards against retries that amplify an overload. */
    @Test
    fun `retries only within the budget`() {
        val state = RequestState(RequestId("r"), CLASS, now + 1.seconds, idempotent = true)
        val rejected = listOf(RequestEvent.Start, responded(1, RequestOutcome.NotRun(Reason.QueueFull)))
        expectThat(outcome(run(state, rejected, RetryBudget(tokens = 0.5)))).isEqualTo("not-run queue-full")
        expectThat(run(state, rejected).last()).isEqualTo(send(2, retry = true))
    }

    /** Guards against a dispatch before the claim of the key is durable, or after the deadline. */
    @Test
    fun `sends a keyed request only after a grant in time`() {
        val state = RequestState(RequestId("r"), CLASS, now + 1.seconds, idempotent = false, key = "k")
        expectThat(run(state, listOf(RequestEvent.Start))).isEqualTo(listOf(RequestAction.ClaimKey("k")))
        val late = run(state, listOf(RequestEvent.Start, RequestEvent.KeyGranted), at = now + 1.seconds)
        val outcome = RequestOutcome.NotRun(Reason.DeadlinePassed)
        expectThat(late.drop(1))
            .isEqualTo(listOf(RequestAction.SettleKey("k", outcome), RequestAction.Finish(outcome)))
    }

    private companion object {
        val CLASS = ClassName("quotes")
        val load = persistentMapOf(CLASS to ClassLoad(8, 0, 0, 1, 0))

        fun info(n: Int) = WorkerInfo(
            WorkerId("w$n"), "a$n", "d$n", "r", incarnation = n.toLong(), heartbeatSentAt = MonotonicInstant(0),
            lastSeenAt = MonotonicInstant(0), capacity = Resources.None, used = Resources.None,
            reserved = Resources.None,
            draining = false, classes = load,
        )

        val snapshot = WorkerSnapshot().put(info(1)).put(info(2))

        fun send(n: Int, retry: Boolean) =
            RequestAction.Send(WorkerId("w$n"), "a$n", n.toLong(), MonotonicInstant(1_000) + 1.seconds, retry)

        fun responded(n: Int, outcome: RequestOutcome) = RequestEvent.AgentResponded(WorkerId("w$n"), outcome)

        fun sendFailed(n: Int, notSent: Boolean) = RequestEvent.SendFailed(WorkerId("w$n"), notSent)

        val rejected = RequestOutcome.NotRun(Reason.QueueFull)
        val connectionLost = RequestOutcome.Unknown(Reason.ConnectionLost)
        val record = KeyRecord("k", "e/r0", 0, 0, outcome = "completed")

        private fun case(idempotent: Boolean, key: String?, expected: String, vararg events: RequestEvent) =
            Arguments.of(idempotent, key, events.toList(), expected)

        @JvmStatic
        @Suppress("LongMethod")
        fun paths(): List<Arguments> = listOf(
            case(true, null, "completed", responded(1, RequestOutcome.Completed)),
            case(true, null, "open", responded(1, rejected)),
            case(true, null, "completed", responded(1, rejected), responded(2, RequestOutcome.Completed)),
            case(true, null, "not-run queue-full", responded(1, rejected), responded(2, rejected)),
            case(true, null, "open", sendFailed(1, notSent = false)),
            case(true, null, "unknown queue-full", sendFailed(1, notSent = false), responded(2, rejected)),
            case(true, null, "unknown connection-lost", responded(1, connectionLost), responded(2, connectionLost)),
            case(false, null, "unknown connection-lost", sendFailed(1, notSent = false)),
            case(false, null, "unknown connection-lost", responded(1, connectionLost)),
            case(false, null, "not-run unreachable", sendFailed(1, notSent = true), sendFailed(2, notSent = true)),
            case(false, null, "open", responded(2, RequestOutcome.Completed)),
            case(false, null, "open", RequestEvent.DeadlineReached),
            case(
                false, null, "not-run deadline-passed", RequestEvent.DeadlineReached,
                RequestEvent.WithdrawalAcknowledged(WorkerId("w1"), notRun = true),
            ),
            case(
                false, null, "unknown deadline-passed", RequestEvent.DeadlineReached,
                RequestEvent.WithdrawalAcknowledged(WorkerId("w1"), notRun = false),
            ),
            case(
                false, null, "unknown deadline-passed", RequestEvent.DeadlineReached,
                RequestEvent.WithdrawalFailed(WorkerId("w1")),
            ),
            case(
                true, null, "unknown deadline-passed", sendFailed(1, notSent = false), RequestEvent.DeadlineReached,
                RequestEvent.WithdrawalAcknowledged(WorkerId("w2"), notRun = true),
            ),
            case(false, null, "completed", RequestEvent.DeadlineReached, responded(1, RequestOutcome.Completed)),
            case(
                false, null, "cancelled", RequestEvent.CallerDisconnected,
                RequestEvent.WithdrawalAcknowledged(WorkerId("w1"), notRun = false),
            ),
            case(false, "k", "not-run deadline-passed", RequestEvent.DeadlineReached),
            case(false, "k", "completed", RequestEvent.KeyGranted, responded(1, RequestOutcome.Completed)),
            case(false, "k", "completed", RequestEvent.KeyRecorded(record)),
            case(false, "k", "unknown key-in-progress", RequestEvent.KeyConflict(Reason.KeyInProgress)),
            case(false, "k", "unknown key-outcome-unknown", RequestEvent.KeyConflict(Reason.KeyOutcomeUnknown)),
            case(false, "k", "not-run store-unavailable", RequestEvent.KeyRejected(Reason.StoreUnavailable)),
        )
    }
}
