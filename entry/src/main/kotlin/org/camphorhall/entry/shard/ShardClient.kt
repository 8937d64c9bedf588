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

/** Routes requests to the owner of a shard, which is this entry or another one. */
internal class ShardClient(
    private val count: Int,
    private val shards: ShardSet,
    private val cluster: () -> ClusterState,
    private val channels: PeerChannels,
) {
    /** Shards of this entry that accept new jobs. */
    fun readyShards(): List<Int> = shards.all().filter { it.acceptsRequests }.map { it.shard }

    /**
     * Sends [request] to the owner of [shard], with up to 6 tries. Retries are safe: all requests are idempotent for
     * the same ids.
     */
    suspend fun send(shard: Int, request: ShardRequest): ShardResponse {
        var inDoubt = false
        repeat(MAX_TRIES) { tryIndex ->
            if (tryIndex > 0) delay(RETRY_DELAY)
            val host = shards.host(shard)
            if (host != null && host.acceptsRequests) return outcomeOf(host.handle(request), inDoubt)
            val owner = cluster().owners[shard]?.record ?: return@repeat
            if (host != null) return@repeat
            when (val result = forward(owner.address, shard, request)) {
                is ForwardResult.Response -> return outcomeOf(result.response, inDoubt)
                ForwardResult.InDoubt -> inDoubt = true
                ForwardResult.NotExecuted -> Unit
            }
        }
        if (inDoubt) return ShardResponse.InDoubt(Reason.ConnectionLost)
        return ShardResponse.Rejected(Reason.StoreUnavailable)
    }

    /** A rejection says nothing about an earlier call whose response is missing: that call may still take effect. */
    private fun outcomeOf(response: ShardResponse, earlierInDoubt: Boolean): ShardResponse =
        if (earlierInDoubt && response is ShardResponse.Rejected) ShardResponse.InDoubt(response.reason) else response

    /** Returns the jobs of all shards, and the shards whose owners did not list their jobs. */
    suspend fun listJobs(): Pair<List<SingleStepJobRecord>, List<Int>> = coroutineScope {
        val responses = (0 until count).map { s -> async { s to send(s, ShardRequest.ListJobs) } }.awaitAll()
        val jobs = responses.flatMap { (it.second as? ShardResponse.Jobs)?.jobs.orEmpty() }
        jobs to responses.filter { it.second !is ShardResponse.Jobs }.map { it.first }
    }

    private sealed interface ForwardResult {
        class Response(val response: ShardResponse) : ForwardResult

        data object InDoubt : ForwardResult

        data object NotExecuted : ForwardResult
    }

    private suspend fun forward(address: String, shard: Int, request: ShardRequest): ForwardResult {
        val message = ShardCommand.newBuilder()
            .setShard(shard)
            .setCommand(json.encodeToString(ShardRequest.serializer(), request))
            .build()
        val channel = channels.get(address)
        return try {
            val response = EntryGrpcKt.EntryCoroutineStub(channel)
                .withDeadlineAfter(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .forward(message)
            if (!response.owner) return ForwardResult.NotExecuted
            ForwardResult.Response(json.decodeFromString(ShardResponse.serializer(), response.answer))
        } catch (e: StatusException) {
            channels.replaceOnTimeout(address, channel, e.status)
            if (e.status.isConnectFailure()) ForwardResult.NotExecuted else ForwardResult.InDoubt
        }
    }

    internal companion object {
        val json: Json = Json { ignoreUnknownKeys = true }
        private const val MAX_TRIES = 6
        private val RETRY_DELAY = 250.milliseconds
        private const val CALL_TIMEOUT_MILLIS = 3_000L
    }
}

/** Whether the connection was never established, so that the call is guaranteed to have had no effect. */
internal fun Status.isConnectFailure(): Boolean =
    code == Status.Code.UNAVAILABLE && generateSequence(cause) { it.cause }.any { it is java.net.ConnectException }
