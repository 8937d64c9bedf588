package org.camphorhall.scheduler.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.camphorhall.core.jobs.JobPhase
import org.camphorhall.core.jobs.JobRecord
import org.camphorhall.core.jobs.ShardLoad
import org.camphorhall.scheduler.owner.ShardOwnerRecord
import org.camphorhall.scheduler.support.WriteResult

/** Request of an entry or a new owner to the owner of a shard. */
@Serializable
internal sealed interface OwnerRequest {
    /** Reports that a job was stored, at store revision [revision]; entries of earlier builds send none. */
    @Serializable
    @SerialName("stored")
    class JobStored(val record: JobRecord, val revision: Long = 0) : OwnerRequest

    /** Reports that the cancellation of a job was stored. */
    @Serializable
    @SerialName("cancelled")
    class CancellationStored(val id: String) : OwnerRequest

    /** Requests the phase of a job. */
    @Serializable
    @SerialName("phase")
    class GetPhase(val id: String) : OwnerRequest

    /** Requests the number of pending jobs of a class. */
    @Serializable
    @SerialName("waiting")
    class CountPending(val classId: String) : OwnerRequest

    /**
     * Requests that the owner stores a job, because the sender cannot reach the store. The write is conditional on the
     * revision [fence] of the fence; entries of earlier builds send none.
     */
    @Serializable
    @SerialName("store")
    class StoreJob(val record: JobRecord, val fence: Long? = null) : OwnerRequest

    /** Requests that the owner stores the cancellation of a job, because the sender cannot reach the store. */
    @Serializable
    @SerialName("storeCancellation")
    class StoreCancellation(val id: String) : OwnerRequest

    /** Reports that the owner of [epoch] took over the shard; [owner] is its record. */
    @Serializable
    @SerialName("resign")
    class Resign(val epoch: Long, val owner: ShardOwnerRecord? = null) : OwnerRequest
}

/** Response to an [OwnerRequest]. */
@Serializable
internal sealed interface OwnerResponse {
    /** The responding process does not own the shard. */
    @Serializable
    @SerialName("notOwner")
    data object NotOwner : OwnerResponse

    /** The responding process does not own the shard, but knows that [owner] does. */
    @Serializable
    @SerialName("moved")
    class Moved(val owner: ShardOwnerRecord) : OwnerResponse

    /** The owner processed the report. Owners of earlier builds send no [loads]. */
    @Serializable
    @SerialName("noted")
    class Acknowledged(val loads: List<ShardLoad> = emptyList()) : OwnerResponse

    /** Phase of a job; null if the owner does not track the job. */
    @Serializable
    @SerialName("phase")
    class Phase(val phase: JobPhase?, val loads: List<ShardLoad> = emptyList()) : OwnerResponse

    /** Result of a requested write. */
    @Serializable
    @SerialName("written")
    class WriteOutcome(val result: WriteResult) : OwnerResponse

    /** Number of pending jobs. */
    @Serializable
    @SerialName("waiting")
    class PendingCount(val jobs: Int) : OwnerResponse
}
