package org.camphorhall.wire

import org.camphorhall.core.agent.AttemptPhase
import org.camphorhall.core.agent.TrackedAttempt
import org.camphorhall.core.agent.StartCommand
import org.camphorhall.core.agent.StopCommand
import org.camphorhall.core.agent.TaskSpec
import org.camphorhall.core.model.AttemptId
import org.camphorhall.core.model.ClassName
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.TaskId
import org.camphorhall.core.model.TenantName
import org.camphorhall.core.shard.AttemptReport
import org.camphorhall.wire.proto.AttemptState
import org.camphorhall.wire.proto.StartAttempt
import org.camphorhall.wire.proto.StopAttempt
import org.camphorhall.wire.proto.AttemptId as AttemptIdMessage
import org.camphorhall.wire.proto.AttemptReport as AttemptReportMessage

/** Converts a start command to its message. */
public fun StartCommand.toMessage(): StartAttempt = StartAttempt.newBuilder()
    .setId(id.toMessage())
    .setShard(shard)
    .setClassName(spec.className?.value.orEmpty())
    .setTenant(spec.tenant?.value.orEmpty())
    .setResources(spec.resources.toMessage())
    .setPayload(spec.payload)
    .setCheckpoint(spec.checkpoint.orEmpty())
    .setFinishByRemainingMillis(spec.finishByRemainingMillis ?: NO_FINISH_BY)
    .setExpectedMillis(spec.expectedMillis)
    .setIncarnation(incarnation)
    .setOwnerEpoch(ownerEpoch)
    .build()

/** Converts a message to a start command. */
public fun StartAttempt.toModel(): StartCommand = StartCommand(
    id.toModel(),
    shard,
    incarnation,
    TaskSpec(
        className = className.ifEmpty { null }?.let(::ClassName),
        tenant = tenant.ifEmpty { null }?.let(::TenantName),
        resources = resources.toModel(),
        payload = payload,
        checkpoint = checkpoint.ifEmpty { null },
        expectedMillis = expectedMillis,
        finishByRemainingMillis = finishByRemainingMillis.takeIf { it != NO_FINISH_BY },
    ),
    ownerEpoch,
)

/** Converts a stop command to its message. */
public fun StopCommand.toMessage(): StopAttempt = StopAttempt.newBuilder()
    .setId(id.toMessage())
    .setShard(shard)
    .setReason(reason.code)
    .setEpoch(epoch)
    .build()

/** Converts a message to a stop command; an unknown reason becomes [Reason.Stale]. */
public fun StopAttempt.toModel(): StopCommand =
    StopCommand(id.toModel(), shard, epoch, reasonOf(reason) ?: Reason.Stale)

/** Converts an attempt that the agent tracks to a report message. */
public fun TrackedAttempt.toMessage(): AttemptReportMessage = AttemptReportMessage.newBuilder()
    .setId(id.toMessage())
    .setShard(shard)
    .setState(phase.toMessage())
    .setReason(reason?.code.orEmpty())
    .setCheckpoint(checkpoint.orEmpty())
    .setProgressMillis(progressMillis)
    .setResult(result.orEmpty())
    .build()

/** Converts a message to an attempt report. */
public fun AttemptReportMessage.toModel(): AttemptReport = AttemptReport(
    id.toModel(),
    state.toModel(),
    reasonOf(reason),
    checkpoint.ifEmpty { null },
    progressMillis,
    result.ifEmpty { null },
)

/** Converts an attempt id to its message. */
public fun AttemptId.toMessage(): AttemptIdMessage = AttemptIdMessage.newBuilder()
    .setTask(task.value)
    .setEpoch(epoch)
    .setAttempt(attempt)
    .build()

/** Converts a message to an attempt id. */
public fun AttemptIdMessage.toModel(): AttemptId = AttemptId(TaskId(task), epoch, attempt)

private fun AttemptPhase.toMessage(): AttemptState = when (this) {
    AttemptPhase.Starting -> AttemptState.ATTEMPT_STARTING
    AttemptPhase.Running -> AttemptState.ATTEMPT_RUNNING
    AttemptPhase.Stopping -> AttemptState.ATTEMPT_STOPPING
    AttemptPhase.Finished -> AttemptState.ATTEMPT_FINISHED
    AttemptPhase.Failed -> AttemptState.ATTEMPT_FAILED
    AttemptPhase.Stopped -> AttemptState.ATTEMPT_STOPPED
    AttemptPhase.Refused -> AttemptState.ATTEMPT_REFUSED
}

private fun AttemptState.toModel(): AttemptPhase = when (this) {
    AttemptState.ATTEMPT_STOPPING -> AttemptPhase.Stopping
    AttemptState.ATTEMPT_FINISHED -> AttemptPhase.Finished
    AttemptState.ATTEMPT_FAILED -> AttemptPhase.Failed
    AttemptState.ATTEMPT_STOPPED -> AttemptPhase.Stopped
    AttemptState.ATTEMPT_REFUSED -> AttemptPhase.Refused
    AttemptState.ATTEMPT_RUNNING -> AttemptPhase.Running
    // An unknown state is treated as possibly running.
    else -> AttemptPhase.Starting
}

/** Value on the wire for a task without a finish-by target. */
private const val NO_FINISH_BY = Long.MIN_VALUE
