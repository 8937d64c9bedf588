package org.camphorhall.scheduler.peer

import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import org.camphorhall.scheduler.support.Clock
import java.io.IOException

/** Exchanges frames on one socket. A peer that does not read fast enough loses the connection. */
internal class PeerConnection(private val socket: Socket, private val clock: Clock) {
    private val input = socket.openReadChannel()
    private val output = socket.openWriteChannel()
    private val outgoing = Channel<ByteArray>(CAPACITY)

    /** When the last frame was received or the connection was opened, on the steady clock in milliseconds. */
    @Volatile
    var lastReceivedAt: Long = clock.steady()
        private set

    /**
     * Passes received frames to [onFrame] and writes queued ones until the connection ends. Always ends with an
     * [IOException], or with a [CancellationException] if the caller is cancelled.
     */
    suspend fun run(onFrame: suspend (PeerFrame) -> Unit): Nothing = try {
        coroutineScope {
            launch { writeQueued() }
            readAll(onFrame)
        }
    } catch (e: CancellationException) {
        // The channels of a closed socket also end with a CancellationException.
        currentCoroutineContext().ensureActive()
        throw IOException("connection closed", e)
    } finally {
        close()
    }

    /** Queues [frame]. Returns false if the connection has ended or its queue is full, which ends it. */
    fun send(frame: PeerFrame): Boolean {
        val isQueued = outgoing.trySend(FrameCodec.encode(frame)).isSuccess
        if (!isQueued) close()
        return isQueued
    }

    /** Closes the connection once the queued frames are written. */
    fun closeWhenWritten() {
        outgoing.close()
    }

    fun close() {
        outgoing.close()
        socket.close()
    }

    private suspend fun readAll(onFrame: suspend (PeerFrame) -> Unit): Nothing {
        while (true) {
            val frame = FrameCodec.read(input)
            lastReceivedAt = clock.steady()
            onFrame(frame)
        }
    }

    private suspend fun writeQueued() {
        for (first in outgoing) {
            FrameCodec.write(output, first)
            var next = outgoing.tryReceive().getOrNull()
            while (next != null) {
                FrameCodec.write(output, next)
                next = outgoing.tryReceive().getOrNull()
            }
            output.flush()
        }
        throw IOException("connection closed")
    }

    private companion object {
        /** Holds several seconds of messages at the highest rate. */
        const val CAPACITY = 1_024
    }
}
