package org.camphorhall.scheduler.support

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Result of a write that can be retried, because it creates a key or changes nothing if repeated. */
@Serializable
internal sealed interface WriteResult {
    /** The key exists, from this write or an earlier one. */
    @Serializable
    @SerialName("stored")
    data object Stored : WriteResult

    /** The record of a job exists with store revision [revision], from this write or an earlier one. */
    @Serializable
    @SerialName("created")
    data class Created(val revision: Long) : WriteResult

    /** Not committed: the key was not written and will not be. */
    @Serializable
    @SerialName("refused")
    data class Refused(val detail: String) : WriteResult

    /** The write may have been committed or may be committed later. */
    @Serializable
    @SerialName("unknown")
    data class Unknown(val detail: String) : WriteResult

    /** The job to cancel does not exist, and no creation that is under way will be committed. */
    @Serializable
    @SerialName("noSuchJob")
    data object NoSuchJob : WriteResult

    /** The job was cancelled before it was stored. It was not stored and will not be. */
    @Serializable
    @SerialName("withdrawn")
    data object Withdrawn : WriteResult

    /**
     * Not committed, because the shard has the newer [fence]. Writes that are conditional on an earlier revision will
     * not be committed either.
     */
    @Serializable
    @SerialName("superseded")
    data class Superseded(val fence: StoredFence) : WriteResult

    /** Not committed, because a limit on such requests is reached. Says nothing about the state of the store. */
    @Serializable
    @SerialName("limitReached")
    data class LimitReached(val detail: String) : WriteResult
}
