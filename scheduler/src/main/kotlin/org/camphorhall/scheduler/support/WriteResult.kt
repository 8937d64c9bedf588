package org.camphorhall.scheduler.support

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Result of a write that only creates a key and can therefore be retried. */
@Serializable
internal sealed interface WriteResult {
    /** The key exists, from this write or an earlier one. */
    @Serializable
    @SerialName("stored")
    data object Stored : WriteResult

    /** Not committed: the key was not written and will not be. */
    @Serializable
    @SerialName("refused")
    data class Refused(val detail: String) : WriteResult

    /** The write may have been committed or may be committed later. */
    @Serializable
    @SerialName("unknown")
    data class Unknown(val detail: String) : WriteResult

    /** The job to cancel does not exist. */
    @Serializable
    @SerialName("noSuchJob")
    data object NoSuchJob : WriteResult
}
