package org.camphorhall.entry.shard

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.camphorhall.core.model.JobId
import org.camphorhall.core.model.Reason
import org.camphorhall.core.shard.KeyRecord
import org.camphorhall.core.shard.SingleStepJobRecord

/** What the owner of a shard answers. */
@Serializable
internal sealed interface ShardAnswer {
    @Serializable
    @SerialName("accepted")
    data class Accepted(val id: JobId) : ShardAnswer

    /** The command surely had no effect. */
    @Serializable
    @SerialName("refused")
    data class Refused(val reason: Reason) : ShardAnswer

    /** The command may have had its effect. */
    @Serializable
    @SerialName("in-doubt")
    data class InDoubt(val reason: Reason) : ShardAnswer

    @Serializable
    @SerialName("done")
    data object Done : ShardAnswer

    @Serializable
    @SerialName("jobs")
    data class Jobs(val jobs: List<SingleStepJobRecord>) : ShardAnswer

    @Serializable
    @SerialName("granted")
    data object Granted : ShardAnswer

    @Serializable
    @SerialName("recorded")
    data class Recorded(val record: KeyRecord) : ShardAnswer

    @Serializable
    @SerialName("taken")
    data class Taken(val reason: Reason) : ShardAnswer
}
