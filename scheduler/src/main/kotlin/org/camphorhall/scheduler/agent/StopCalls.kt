package org.camphorhall.scheduler.agent

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import org.camphorhall.core.jobs.WorkerCommand
import org.camphorhall.core.jobs.WorkerKey
import org.camphorhall.platform.worker.TaskWorker
import org.camphorhall.process.event
import org.camphorhall.scheduler.support.Clock
import org.camphorhall.scheduler.support.LogLimit

private val logger = KotlinLogging.logger {}

/** Sends stop commands to [worker], whose key is [key], and logs their outcomes. [token] returns the fencing token. */
internal class StopCalls(
    private val worker: TaskWorker,
    private val key: WorkerKey,
    private val retryDelay: RetryDelay,
    clock: Clock,
    private val onOutcome: (StopOutcome) -> Unit,
    private val token: suspend () -> Long,
) {
    private val limits = StopOutcome.entries.associateWith { LogLimit(clock, LogLimit.STOP_LINES) }

    /** Executes [command] of the owner with [epoch]. Returns after the worker's response or the last try. */
    suspend fun execute(command: WorkerCommand.Stop, epoch: Long) {
        var tries = 0
        try {
            while (tries < MAX_TRIES) {
                tries++
                val error = worker.stop(command.task, command.attempt, token()).leftOrNull()
                if (error == null) {
                    record(StopOutcome.Completed, command, epoch, tries)
                    return
                }
                record(StopOutcome.Failed, command, epoch, tries, error)
                delay(retryDelay.current)
            }
        } catch (e: CancellationException) {
            record(StopOutcome.GivenUp, command, epoch, tries, e.message)
            throw e
        }
        record(StopOutcome.GivenUp, command, epoch, tries, "no try succeeded")
    }

    private fun record(
        outcome: StopOutcome,
        command: WorkerCommand.Stop,
        epoch: Long,
        tries: Int,
        reason: Any? = null,
    ) {
        onOutcome(outcome)
        limits.getValue(outcome).log { suppressed ->
            logger.event(
                if (outcome == StopOutcome.Completed) Level.INFO else Level.WARN,
                outcome.event,
                "task" to command.task,
                "attempt" to command.attempt,
                "worker" to key.id,
                "epoch" to epoch,
                "try" to tries,
                "reason" to reason,
                "suppressed" to suppressed.takeIf { it > 0 },
            )
        }
    }

    private companion object {
        /** Tries per stop command; the owner repeats the command. */
        const val MAX_TRIES = 3
    }
}
