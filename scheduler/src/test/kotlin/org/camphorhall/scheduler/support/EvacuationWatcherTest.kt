package org.camphorhall.scheduler.support

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.channels.Channel
import org.camphorhall.platform.operator.EvacuationChanges
import org.camphorhall.platform.operator.EvacuationSource
import org.camphorhall.platform.store.StoreError
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Tests what an owner knows of evacuations while the store fails. */
internal class EvacuationWatcherTest {
    private fun changes(revision: Long, requested: Set<String>, ended: Set<String> = emptySet(), invalid: Int = 0) =
        EvacuationChanges(requested, ended, revision, List(invalid) { "op/evacuate/" })

    /** Answers the calls in turn, and then no more. */
    private class ScriptedSource(vararg responses: Either<StoreError, EvacuationChanges>) : EvacuationSource {
        private val remaining = responses.toMutableList()
        val calls = mutableListOf<String>()

        private suspend fun next(call: String): Either<StoreError, EvacuationChanges> {
            calls += call
            return remaining.removeFirstOrNull() ?: awaitCancellation()
        }

        override suspend fun read() = next("read")

        override suspend fun awaitChange(revision: Long, wait: Duration) = next("watch $revision")
    }

    /** The states that the watcher passes on for the responses of [source]. */
    private fun statesOf(source: ScriptedSource, count: Int): List<Set<String>> = runBlocking {
        val states = Channel<EvacuationState>(Channel.UNLIMITED)
        val watcher = EvacuationWatcher(source, SystemClock) { states.trySend(it) }
        val job = launch { watcher.run() }
        val result = withTimeout(10.seconds) { List(count) { states.receive() } }
        job.cancel()
        for (s in result) expectThat(s.currentAt).isLessThanOrEqualTo(SystemClock.steady())
        result.map { it.domains }
    }

    /** Guards against an evacuation that is lost or kept when a watch ends, and against an owner that ends with it. */
    @Test
    fun `changes are applied in order and a failed watch is replaced by a read`() {
        val source = ScriptedSource(
            changes(5, setOf("north")).right(),
            changes(6, setOf("south", "east")).right(),
            changes(7, emptySet(), ended = setOf("north")).right(),
            StoreError.HistoryLost.left(),
            changes(9, setOf("west"), invalid = 1).right(),
        )
        val states = statesOf(source, 4)
        expectThat(states)
            .isEqualTo(listOf(setOf("north"), setOf("north", "south", "east"), setOf("south", "east"), setOf("west")))
        expectThat(source.calls.take(5)).isEqualTo(listOf("read", "watch 5", "watch 6", "watch 7", "read"))
    }

    /** Guards against an owner that treats a failure as the end of all evacuations. */
    @Test
    fun `an error passes no state on`() {
        val source = ScriptedSource(
            changes(5, setOf("north")).right(),
            StoreError.Unavailable("busy").left(),
            StoreError.Uncertain("no response").left(),
            changes(6, setOf("north")).right(),
        )
        expectThat(statesOf(source, 2)).isEqualTo(listOf(setOf("north"), setOf("north")))
    }
}
