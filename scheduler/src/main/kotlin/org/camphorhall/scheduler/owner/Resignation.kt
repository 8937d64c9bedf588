package org.camphorhall.scheduler.owner

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import org.camphorhall.process.event
import org.camphorhall.scheduler.protocol.OwnerRequest
import org.camphorhall.scheduler.support.OwnerClient
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Shorter than the time after which an owner rejects a request that its loop has not handled. */
private val RESIGN_TIMEOUT = 400.milliseconds

/** Asks [predecessor] to resign in favour of [successor]. It may be running and grant leases whatever the result is. */
internal suspend fun OwnerClient.requestResignation(predecessor: ShardOwnerRecord, successor: ShardOwnerRecord) {
    val response = send(predecessor.address, OwnerRequest.Resign(successor.epoch, successor), RESIGN_TIMEOUT)
    logger.event(
        Level.INFO,
        "previous owner asked to resign",
        "owner" to predecessor.instance,
        "failure" to response.leftOrNull(),
    )
}
