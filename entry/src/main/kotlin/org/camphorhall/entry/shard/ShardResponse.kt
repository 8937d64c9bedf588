package org.camphorhall.entry.shard

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.camphorhall.core.model.JobId
import org.camphorhall.core.model.Reason
import org.camphorhall.core.shard.KeyRecord
import org.camphorhall.core.shard.SingleStepJobRecord

/** Response of the owner of a shard to a [ShardRequest]. */
@Serializable
internal sealed interface ShardResponse {
    @Serializable
    @SerialName("accepted")
    data class Accepted(val id: JobId) : ShardResponse

    /** The request is guaranteed to have had no effect. */
    @Serializable
    @SerialName("refused")
    data class Rejected(val reason: Reason) : ShardResponse

    /** It is unknown whether the request took effect. */
    @Serializable
    @SerialName("in-doubt")
    data class InDoubt(val reason: Reason) : ShardResponse

    @Serializable
    @SerialName("done")
    data object Done : ShardResponse

    @Serializable
    @SerialName("jobs")
    data class Jobs(val jobs: List<SingleStepJobRecord>) : ShardResponse

    @Serializable
    @SerialName("granted")
    data object Granted : ShardResponse

    @Serializable
    @SerialName("recorded")
    data class Recorded(val record: KeyRecord) : ShardResponse

    @Serializable
    @SerialName("taken")
    data class AlreadyClaimed(val reason: Reason) : ShardResponse
}
