package org.camphorhall.entry.shard

import io.grpc.Status
import io.grpc.StatusException
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import org.camphorhall.core.model.Reason
import org.camphorhall.core.shard.SingleStepJobRecord
import org.camphorhall.entry.store.ClusterState
import org.camphorhall.wire.PeerChannels
import org.camphorhall.wire.proto.EntryGrpcKt
import org.camphorhall.wire.proto.ShardCommand
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

/** Brings commands to the owner of a shard: this entry or another one. */
internal class ShardClient(
    private val count: Int,
    private val shards: ShardSet,
    private val cluster: () -> ClusterState,
    private val channels: PeerChannels,
) {
    /** Shards of this entry that can take new jobs. */
    fun readyShards(): List<Int> = shards.all().filter { it.open }.map { it.shard }

    /** Sends [request] to the owner of [shard]. All requests are safe to repeat with the same ids. */
    suspend fun send(shard: Int, request: ShardRequest): ShardAnswer {
        var doubtful = false
        repeat(MAX_TRIES) { n ->
            if (n > 0) delay(RETRY)
            val host = shards.host(shard)
            if (host != null && host.open) return host.handle(request)
            val owner = cluster().owners[shard]?.record ?: return@repeat
            if (host != null) return@repeat
            when (val r = forward(owner.address, shard, request)) {
                is Forwarded.Answer -> return r.answer
                Forwarded.InDoubt -> doubtful = true
                Forwarded.NotDone -> Unit
            }
        }
        if (doubtful) return ShardAnswer.InDoubt(Reason.ConnectionLost)
        return ShardAnswer.Refused(Reason.StoreUnavailable)
    }

    /** Lists the jobs of all shards. Shards that do not answer are named in the result. */
    suspend fun listJobs(): Pair<List<SingleStepJobRecord>, List<Int>> = coroutineScope {
        val answers = (0 until count).map { s -> async { s to send(s, ShardRequest.ListJobs) } }.awaitAll()
        val jobs = answers.flatMap { (it.second as? ShardAnswer.Jobs)?.jobs.orEmpty() }
        jobs to answers.filter { it.second !is ShardAnswer.Jobs }.map { it.first }
    }

    private sealed interface Forwarded {
        class Answer(val answer: ShardAnswer) : Forwarded

        data object InDoubt : Forwarded

        data object NotDone : Forwarded
    }

    private suspend fun forward(address: String, shard: Int, request: ShardRequest): Forwarded {
        val message = ShardCommand.newBuilder()
            .setShard(shard)
            .setCommand(json.encodeToString(ShardRequest.serializer(), request))
            .build()
        val channel = channels.get(address)
        return try {
            val reply = EntryGrpcKt.EntryCoroutineStub(channel)
                .withDeadlineAfter(CALL_MILLIS, TimeUnit.MILLISECONDS)
                .forward(message)
            if (!reply.owner) return Forwarded.NotDone
            Forwarded.Answer(json.decodeFromString(ShardAnswer.serializer(), reply.answer))
        } catch (e: StatusException) {
            channels.replaceOnTimeout(address, channel, e.status)
            if (e.status.isNotConnected()) Forwarded.NotDone else Forwarded.InDoubt
        }
    }

    internal companion object {
        val json: Json = Json { ignoreUnknownKeys = true }
        private const val MAX_TRIES = 6
        private val RETRY = 250.milliseconds
        private const val CALL_MILLIS = 3_000L
    }
}

/** Tells whether the connection was never established, so that the call surely had no effect. */
internal fun Status.isNotConnected(): Boolean =
    code == Status.Code.UNAVAILABLE && generateSequence(cause) { it.cause }.any { it is java.net.ConnectException }
