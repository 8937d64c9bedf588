package org.camphorhall.scheduler.agent

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.grpc.StatusException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.camphorhall.process.event
import org.camphorhall.scheduler.owner.OwnerRecord
import org.camphorhall.scheduler.protocol.AgentMessage
import org.camphorhall.scheduler.protocol.OwnerMessage
import org.camphorhall.scheduler.protocol.decode
import org.camphorhall.scheduler.protocol.documentOf
import org.camphorhall.scheduler.support.Clock
import org.camphorhall.scheduler.support.ClockReading
import org.camphorhall.wire.PeerChannels
import org.camphorhall.wire.proto.Document
import org.camphorhall.wire.proto.SchedulerGrpcKt.SchedulerCoroutineStub
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Keeps a worker connected to the owner of its shard. [owner] is the newest owner that is known. */
internal class OwnerLink(
    private val link: WorkerLink,
    private val channels: PeerChannels,
    private val clock: Clock,
    private val owner: () -> OwnerRecord?,
) {
    /** Readings at which unanswered messages were made, by their steady times. */
    private val sent = LinkedHashMap<Long, ClockReading>()

    private val patience = AnswerPatience()

    @Volatile
    private var answeredAt = 0L

    /** Connects, and connects again, until the worker's life ends. */
    suspend fun run() {
        while (true) {
            val record = owner()
            if (record != null) {
                try {
                    attach(record)
                } catch (e: StatusException) {
                    val address = record.address
                    logger.event(Level.INFO, "not connected to the owner", "owner" to address, "reason" to e.status)
                }
            }
            delay(RETRY)
        }
    }

    private suspend fun attach(record: OwnerRecord): Unit = coroutineScope {
        val channel = channels.get(record.address)
        channels.resetBackoff(record.address)
        synchronized(sent) { sent.clear() }
        answeredAt = clock.steady()
        val watchdog = launch {
            while (clock.steady() - answeredAt < patience.millis && isNewest(record)) delay(WATCH)
            if (isNewest(record)) {
                patience.noteSilence()
                channels.replace(record.address, channel)
            }
        }
        val stream = launch {
            val answers = SchedulerCoroutineStub(channel).attach(reports())
            answers.collect { take(it.decode(OwnerMessage.serializer()), record) }
        }
        launch {
            watchdog.join()
            stream.cancel()
        }
        stream.join()
        coroutineContext.cancelChildren()
        logger.event(Level.INFO, "connection to the owner ended", "owner" to record.address, "epoch" to record.epoch)
    }

    private fun isNewest(record: OwnerRecord): Boolean = (owner()?.epoch ?: 0) <= record.epoch

    private fun reports(): Flow<Document> = flow {
        var isFenced = false
        var completeAt: Long? = null
        while (true) {
            if (!isFenced) isFenced = link.fence()
            val isComplete = completeAt?.let { clock.steady() - it >= COMPLETE_MILLIS } ?: true
            val report = link.report(isFenced, isComplete)
            val reading = ClockReading(clock)
            if (isComplete && isFenced) completeAt = reading.steady
            synchronized(sent) {
                sent[reading.steady] = reading
                if (sent.size > UNANSWERED) sent.remove(sent.keys.first())
            }
            emit(documentOf(AgentMessage.serializer(), AgentMessage(reading.steady, report)))
            withTimeoutOrNull(PERIOD) { link.news.receive() }
        }
    }

    private suspend fun CoroutineScope.take(m: OwnerMessage, record: OwnerRecord) {
        if (m.epoch != record.epoch) return
        answeredAt = clock.steady()
        patience.noteAnswer()
        link.learn(m.traits)
        link.learnDisturbances(m.disturbances)
        m.endsStored?.let { link.noteStored(it) }
        m.answers?.let { at ->
            link.health.path = m.healthPath
            val reading = synchronized(sent) { sent.remove(at) }
            // A suspended machine does not count the time that passed; the next answer tells more.
            if (reading != null && !reading.maySuspended()) link.grant(at, m.leaseMillis)
        }
        for (o in m.orders) launch { link.execute(o) }
    }

    private companion object {
        /** Longest time between two reports. */
        val PERIOD = 700.milliseconds

        /** From this time after a complete report on, the next report is complete: reports are late by some time. */
        const val COMPLETE_MILLIS = 650L
        val RETRY = 100.milliseconds
        val WATCH = 200.milliseconds

        /** Reports whose answers are still waited for. */
        const val UNANSWERED = 256
    }
}
