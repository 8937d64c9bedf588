package org.camphorhall.scheduler.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.camphorhall.core.jobs.JobPhase
import org.camphorhall.core.jobs.JobRecord
import org.camphorhall.scheduler.support.WriteResult

/** A message of an entry or a new owner to the owner of a shard. */
@Serializable
internal sealed interface OwnerRequest {
    /** A job was stored. */
    @Serializable
    @SerialName("stored")
    class JobStored(val record: JobRecord) : OwnerRequest

    /** The cancellation of a job was stored. */
    @Serializable
    @SerialName("cancelled")
    class CancellationStored(val id: String) : OwnerRequest

    /** Asks for the state of a job. */
    @Serializable
    @SerialName("phase")
    class GetPhase(val id: String) : OwnerRequest

    /** Asks for the number of jobs of a class that wait. */
    @Serializable
    @SerialName("waiting")
    class CountPending(val classId: String) : OwnerRequest

    /** Asks to store a job, because the path of the sender to the store fails. */
    @Serializable
    @SerialName("store")
    class StoreJob(val record: JobRecord) : OwnerRequest

    /** Asks to store the cancellation of a job, for the same reason. */
    @Serializable
    @SerialName("storeCancellation")
    class StoreCancellation(val id: String) : OwnerRequest

    /** Tells that [epoch] took the shard over. */
    @Serializable
    @SerialName("resign")
    class Resign(val epoch: Long) : OwnerRequest
}

/** The answer to a [OwnerRequest]. */
@Serializable
internal sealed interface OwnerResponse {
    /** The answering process does not own the shard. */
    @Serializable
    @SerialName("notOwner")
    data object NotOwner : OwnerResponse

    /** Noted. */
    @Serializable
    @SerialName("noted")
    data object Acknowledged : OwnerResponse

    /** State of a job; null if the owner does not know it. */
    @Serializable
    @SerialName("phase")
    class Phase(val phase: JobPhase?) : OwnerResponse

    /** How a write ended. */
    @Serializable
    @SerialName("written")
    class WriteOutcome(val result: WriteResult) : OwnerResponse

    /** Number of waiting jobs. */
    @Serializable
    @SerialName("waiting")
    class PendingCount(val jobs: Int) : OwnerResponse
}
