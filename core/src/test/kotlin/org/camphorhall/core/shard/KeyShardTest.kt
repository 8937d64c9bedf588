package org.camphorhall.core.shard

import org.camphorhall.core.model.ClockReading
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Reason
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class KeyShardTest {
    private val machine = KeyShardMachine()
    private var millis = 0L
    private var state = KeyShardState.acquired(0, epoch = 3, writer = "e")

    private fun step(event: KeyShardEvent, after: Long = 1): List<KeyShardAction> {
        millis += after
        val t = machine.step(state, event, ClockReading(MonotonicInstant(millis * 1_000_000), millis))
        state = t.state
        return t.actions.filter { it !is KeyShardAction.CallStore }
    }

    private fun pageResponse(event: PageEvent<KeyPage>) = step(KeyShardEvent.PageResponse(event))

    private fun written() = pageResponse(PageEvent.Written(state.commit.inFlight!!.token, state.commit.version + 1))

    private fun establish() {
        step(KeyShardEvent.Tick)
        pageResponse(PageEvent.Read(1, 2, "earlier", KeyPage()))
        step(KeyShardEvent.Tick, after = 100)
        written()
        step(KeyShardEvent.Tick, after = 100)
    }

    private fun claim(correlationId: Long, claimant: String = "e/r") =
        step(KeyShardEvent.Claim(correlationId, "k", claimant, deadlineMillis = 9_000))

    /** Guards against a conflict between repeated claims, and against a grant before the claim is durable. */
    @Test
    fun `grants a repeated claim once it is durable`() {
        establish()
        expectThat(claim(1) + claim(2)).isEmpty()
        expectThat(claim(3, claimant = "e/other"))
            .isEqualTo(listOf(KeyShardAction.AlreadyClaimed(3, Reason.KeyInProgress)))
        expectThat(written()).isEqualTo(listOf(KeyShardAction.Granted(1), KeyShardAction.Granted(2)))
        expectThat(claim(4)).isEqualTo(listOf(KeyShardAction.Granted(4)))
    }

    /** Guards against a second run of a request: a rejected write of a repeated claim released the granted key. */
    @Test
    fun `keeps a granted key when a later write is rejected`() {
        establish()
        claim(1)
        claim(2)
        written()
        step(KeyShardEvent.Tick, after = 100)
        pageResponse(PageEvent.NotWritten(state.commit.inFlight!!.token))
        expectThat(claim(3, claimant = "e/other"))
            .isEqualTo(listOf(KeyShardAction.AlreadyClaimed(3, Reason.KeyInProgress)))
    }

    /** Guards against granting a repeated claim after the first one was rejected and its key released. */
    @Test
    fun `rejects a repeated claim together with the first`() {
        establish()
        claim(1)
        pageResponse(PageEvent.InDoubt(state.commit.inFlight!!.token))
        step(KeyShardEvent.Tick, after = 1_500)
        claim(2)
        expectThat(step(KeyShardEvent.Tick, after = 600)).contains(
            KeyShardAction.Rejected(1, Reason.StoreUnavailable),
            KeyShardAction.Rejected(2, Reason.StoreUnavailable),
        )
        expectThat(state.commit.current.keys).isEmpty()
    }
}
