package org.camphorhall.scheduler.agent

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.camphorhall.process.event
import org.camphorhall.scheduler.owner.ShardOwnerRecord
import org.camphorhall.scheduler.peer.PeerConnection
import org.camphorhall.scheduler.peer.PeerSockets
import org.camphorhall.scheduler.peer.PeerFrame
import org.camphorhall.scheduler.protocol.AgentMessage
import org.camphorhall.scheduler.protocol.OwnerMessage
import org.camphorhall.scheduler.support.Clock
import org.camphorhall.scheduler.support.ClockReading
import java.io.IOException
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/**
 * Maintains the connection between a worker and the owner of its shard. [owner] returns the newest owner found.
 * [onNewerOwner] gets owners that the agent learns of on the connection: the successor of one that was replaced, and
 * the newer epoch of one that has restarted.
 */
internal class OwnerLink(
    private val link: WorkerLink,
    private val sockets: PeerSockets,
    private val clock: Clock,
    private val owner: () -> ShardOwnerRecord?,
    private val onNewerOwner: (ShardOwnerRecord) -> Unit,
) {
    /** Clock readings of reports without a response, by steady time. */
    private val pendingReports = LinkedHashMap<Long, ClockReading>()

    private val responseTimeout = ResponseTimeout()

    @Volatile
    private var lastResponseAt = 0L

    /** Connects and reconnects until cancelled. */
    suspend fun run() {
        while (true) {
            val record = owner()
            if (record != null) {
                try {
                    attach(record)
                } catch (e: IOException) {
                    logFailure(record, e)
                }
            }
            // A newer owner is known at once if the previous one told it.
            if (record == null || owner()?.epoch == record.epoch) delay(RETRY_DELAY)
        }
    }

    private fun logFailure(record: ShardOwnerRecord, e: IOException) {
        logger.event(
            Level.INFO,
            "connection to the owner failed",
            "owner" to record.address,
            "epoch" to record.epoch,
            "reason" to e.message,
        )
    }

    private suspend fun attach(record: ShardOwnerRecord): Unit = coroutineScope {
        val connection = sockets.open(record.address)
        synchronized(pendingReports) { pendingReports.clear() }
        lastResponseAt = clock.steady()
        launch { sendReports(connection) }
        launch {
            while (clock.steady() - lastResponseAt < responseTimeout.millis && isNewest(record)) delay(WATCHDOG_PERIOD)
            if (isNewest(record)) responseTimeout.recordTimeout()
            connection.close()
        }
        try {
            connection.run { frame ->
                when (frame) {
                    is PeerFrame.FromOwner -> handle(frame.message, record)
                    is PeerFrame.NewOwner -> onNewerOwner(frame.owner)
                    else -> Unit
                }
            }
        } finally {
            coroutineContext.cancelChildren(CancellationException("connection to the owner ended"))
        }
    }

    /** Whether the process at the address of [record] is still the newest owner, perhaps with a newer epoch. */
    private fun isNewest(record: ShardOwnerRecord): Boolean =
        owner()?.let { it.epoch <= record.epoch || it.isAt(record.instance, record.address) } ?: true

    private suspend fun sendReports(connection: PeerConnection) {
        var isFenced = link.fence()
        var completeAt: Long? = null
        var lastEpoch = 0L
        while (true) {
            isFenced = isFenced || link.isFenced()
            val epoch = owner()?.epoch ?: 0
            // The owner ignored the reports made under an earlier epoch.
            if (epoch != lastEpoch) completeAt = null
            lastEpoch = epoch
            val isComplete = completeAt?.let { clock.steady() - it >= COMPLETE_REPORT_MILLIS } ?: true
            val report = link.report(isFenced, isComplete)
            val reading = ClockReading(clock)
            if (isComplete && isFenced) completeAt = reading.steady
            synchronized(pendingReports) {
                pendingReports[reading.steady] = reading
                if (pendingReports.size > MAX_PENDING_REPORTS) pendingReports.remove(pendingReports.keys.first())
            }
            if (!connection.send(PeerFrame.FromAgent(AgentMessage(reading.steady, report, epoch)))) return
            withTimeoutOrNull(REPORT_PERIOD) { link.updates.receive() }
        }
    }

    private suspend fun CoroutineScope.handle(message: OwnerMessage, record: ShardOwnerRecord) {
        val known = owner() ?: record
        if (message.epoch < known.epoch) return
        if (message.epoch > known.epoch) {
            onNewerOwner(record.copy(epoch = message.epoch))
            link.updates.trySend(Unit)
        }
        lastResponseAt = clock.steady()
        responseTimeout.recordResponse()
        link.addProfiles(message.taskProfiles)
        link.updateInterference(message.interference)
        message.lastStoredEnd?.let { link.recordStored(it) }
        message.inResponseTo?.let { at ->
            link.health.path = message.healthPath
            val reading = synchronized(pendingReports) { pendingReports.remove(at) }
            // No lease after a suspension, which the steady clock may not count; the next response grants one.
            if (reading != null && !reading.mayHaveBeenSuspended()) link.grantLease(at, message.leaseMillis)
        }
        for (command in message.commands) launch { link.execute(command, message.epoch) }
    }

    private companion object {
        /** Maximum time between two reports. */
        val REPORT_PERIOD = 700.milliseconds

        /** Time until the next complete report. Shorter than [REPORT_PERIOD], because reports may be late. */
        const val COMPLETE_REPORT_MILLIS = 650L
        val RETRY_DELAY = 100.milliseconds
        val WATCHDOG_PERIOD = 200.milliseconds

        /** Maximum number of reports tracked without a response. */
        const val MAX_PENDING_REPORTS = 256
    }
}
