package org.camphorhall.scheduler.peer

import arrow.core.getOrElse
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import org.camphorhall.scheduler.protocol.documentDecoder
import org.camphorhall.scheduler.protocol.documentJson
import java.io.IOException

/** A frame is its length in bytes, as four bytes in network order, and a JSON document in UTF-8. */
internal object FrameCodec {
    fun encode(frame: PeerFrame): ByteArray =
        documentJson.encodeToString(PeerFrame.serializer(), frame).encodeToByteArray()

    /** Reads one frame. Throws [MalformedFrameException] for an invalid one and [IOException] at the end. */
    suspend fun read(channel: ByteReadChannel): PeerFrame {
        val length = channel.readInt()
        if (length !in 1..MAX_FRAME_BYTES) throw MalformedFrameException("frame of $length bytes")
        return documentDecoder.decode(PeerFrame.serializer(), channel.readByteArray(length))
            .getOrElse { throw MalformedFrameException(it) }
    }

    /** Writes an encoded frame without flushing it. */
    suspend fun write(channel: ByteWriteChannel, encoded: ByteArray) {
        channel.writeInt(encoded.size)
        channel.writeByteArray(encoded)
    }

    /** Exceeds the largest report, of a worker with thousands of tasks. */
    private const val MAX_FRAME_BYTES = 8 * 1024 * 1024
}

/** The peer sent bytes that are not a frame. */
internal class MalformedFrameException(message: String) : IOException(message)
