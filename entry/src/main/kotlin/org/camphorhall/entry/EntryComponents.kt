package org.camphorhall.entry

import org.camphorhall.entry.account.RequestAccounting
import org.camphorhall.entry.members.WorkerRegistry
import org.camphorhall.entry.request.InFlightLimits
import org.camphorhall.entry.request.RequestHandler
import org.camphorhall.entry.shard.ShardClient
import org.camphorhall.entry.store.ClusterWatch
import org.camphorhall.entry.store.ConfigWriter
import org.camphorhall.platform.store.KeyValueStore
import org.camphorhall.wire.PeerChannels

/** Components of a running entry that its HTTP routes use. They live until the process ends. */
internal class EntryComponents(
    val options: EntryOptions,
    val clocks: Clocks,
    val store: KeyValueStore,
    val watch: ClusterWatch,
    val configWriter: ConfigWriter,
    val workerRegistry: WorkerRegistry,
    val channels: PeerChannels,
    val shards: ShardClient,
    val requests: RequestHandler,
    val limits: InFlightLimits,
    val accounting: RequestAccounting,
    val metrics: EntryMetrics,
) {
    /** Whether the entry is draining and rejects new requests and jobs. */
    @Volatile
    var stopping: Boolean = false
}
