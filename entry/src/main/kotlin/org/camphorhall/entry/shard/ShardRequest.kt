package org.camphorhall.entry.shard

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.camphorhall.core.model.JobId
import org.camphorhall.core.shard.SingleStepJobSpec

/** A request to the owner of a shard. */
@Serializable
internal sealed interface ShardRequest {
    @Serializable
    @SerialName("submit")
    data class Submit(val id: JobId, val spec: SingleStepJobSpec) : ShardRequest

    @Serializable
    @SerialName("cancel")
    data class Cancel(val id: JobId) : ShardRequest

    @Serializable
    @SerialName("status")
    data class Status(val id: JobId) : ShardRequest

    @Serializable
    @SerialName("list")
    data object ListJobs : ShardRequest

    @Serializable
    @SerialName("claim")
    data class Claim(val key: String, val claimant: String, val deadlineMillis: Long) : ShardRequest

    @Serializable
    @SerialName("settle")
    data class Settle(
        val key: String,
        val claimant: String,
        val outcome: String,
        val reason: String? = null,
        val body: String? = null,
    ) : ShardRequest
}
