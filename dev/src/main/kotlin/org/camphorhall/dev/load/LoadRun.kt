package org.camphorhall.dev.load

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.locks.LockSupport
import kotlin.time.Duration

/**
 * Sends the requests of [schedule] at their send times, to [entries] in round-robin order. Requests scheduled before
 * [warmup] are not recorded.
 */
internal class LoadRun(
    private val entries: List<String>,
    private val schedule: Schedule,
    private val sender: RequestSender,
    private val maxInFlight: Int,
    private val warmup: Duration,
) {
    private val recorder = Recorder()
    private val inFlight = AtomicInteger()

    /** Sends all requests and returns the result once each has an outcome. */
    suspend fun run(seed: Long): LoadResult {
        val start = System.nanoTime()
        coroutineScope {
            // Parks a thread instead of suspending, because delay() resumes up to a millisecond late.
            withContext(Dispatchers.IO) {
                for (request in schedule.requests()) {
                    val due = start + request.sendTime.inWholeNanoseconds
                    sleepUntil(due)
                    if (request.sendTime >= warmup) recorder.recordSend(request.className, System.nanoTime() - due)
                    this@coroutineScope.launch(Dispatchers.Default) { send(request, due) }
                }
            }
        }
        return recorder.result(seed, (System.nanoTime() - start) / NANOS_PER_MILLI - warmup.inWholeMilliseconds)
    }

    private suspend fun send(request: Schedule.ScheduledRequest, due: Long) {
        val entry = entries[((request.number - 1) % entries.size).toInt()]
        val outcome = if (inFlight.incrementAndGet() > maxInFlight) {
            "not-sent/max-in-flight"
        } else {
            sender.send(entry, request.className, request.number)
        }
        inFlight.decrementAndGet()
        if (request.sendTime >= warmup) recorder.recordEnd(request.className, outcome, System.nanoTime() - due)
    }

    private fun sleepUntil(due: Long) {
        while (true) {
            val remaining = due - System.nanoTime()
            if (remaining <= 0) return
            LockSupport.parkNanos(remaining)
        }
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
